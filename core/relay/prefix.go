package relay

import "strings"

const (
	// ContractPrefix begins the key of every contract.
	ContractPrefix = "contracts/"
	// GroupPrefix begins the key of every group.
	GroupPrefix = "groups/"
)

// documentKind is one of the two prefixes that documents come from.
type documentKind int

const (
	contractKind documentKind = iota
	groupKind
	unknownKind
)

func kindOf(key string) documentKind {
	switch {
	case strings.HasPrefix(key, ContractPrefix):
		return contractKind
	case strings.HasPrefix(key, GroupPrefix):
		return groupKind
	default:
		return unknownKind
	}
}
