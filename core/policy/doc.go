// Package policy defines the documents that operators write, contracts and groups, and parses and validates them.
package policy
