package relay

import "strings"

const (
	// ContractPrefix begins the key of every contract.
	ContractPrefix = "contracts/"
	// GroupPrefix begins the key of every group.
	GroupPrefix = "groups/"
)

// source is one of the two prefixes that documents come from.
type source int

const (
	contractSource source = iota
	groupSource
	unknownSource
)

func sourceOf(key string) source {
	switch {
	case strings.HasPrefix(key, ContractPrefix):
		return contractSource
	case strings.HasPrefix(key, GroupPrefix):
		return groupSource
	default:
		return unknownSource
	}
}
