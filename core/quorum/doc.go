// Package quorum decides, from what the members of a database report, which member is the primary, whether the lease of the
// owner is valid and how old the data of a replica is.
package quorum
