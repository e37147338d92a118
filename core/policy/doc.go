// Package policy defines, parses and validates two kinds of documents: contracts, which operators write, and groups, which the
// platform publishes.
package policy
