// Package acct holds the client accounts of the operator's configuration: which keys name them, and how much each may use.
package acct
