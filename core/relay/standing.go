package relay

import "turmericpulley/core/types"

// PeerStatus is what an instance tells others about its copies.
type PeerStatus struct {
	// Revisions says which documents it holds.
	Revisions Revisions
	// Membership is the revision of its membership.
	Membership types.Revision
	// Synced is true once its documents were current at some time after its start.
	Synced bool
	// StoreAge is how long ago its documents were last known to be those of the store.
	StoreAge Age
	// Contacts holds, for each instance of its membership in order, the age of that instance's documents which it is
	// known to hold; empty when it has nothing to tell beyond itself.
	Contacts []Age
}
