// Package keep decides which idle connection to a member is closed when one is opened for another client account, whether an opening is
// worth that, and how many connections a member takes at the moment.
//
// A connection belongs to one account, and a member takes fewer connections than there are accounts. The worth of a connection is how
// often a statement uses it that would find no other one of its account: uses.go. room.go follows a member that refuses connections.
package keep
