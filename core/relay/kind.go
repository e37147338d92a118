package relay

import "strings"

const (
	// ContractPrefix is the prefix of the keys of contracts in the store.
	ContractPrefix = "contracts/"
	// GroupPrefix is the prefix of the keys of groups in the store.
	GroupPrefix = "groups/"
)

// documentKind distinguishes contracts from groups.
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
