// Package policy holds the operators' documents, contracts and groups, and checks them.
package policy
