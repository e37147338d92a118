// Package quorum decides, from what the members of a database report, who is primary, whether the owner's lease holds
// and how old a replica's data is.
package quorum
