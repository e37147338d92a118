// Package quorum decides, from what the members of a database report, which member is the primary, whether the lease of the
// owner is valid and how old the data of a replica is. Packages owner and server use it; packages group and node use package hold,
// where the platform's store names the owner.
package quorum
