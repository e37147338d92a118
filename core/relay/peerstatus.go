package relay

import "turmericpulley/core/types"

// PeerStatus is what an instance reports in heartbeats about its copies of the documents.
type PeerStatus struct {
	// Revisions holds the revisions up to which the instance has all documents.
	Revisions Revisions
	// Membership is the revision of the membership that the instance knows.
	Membership types.Revision
	// Synced is true once its documents were current at some time after its start.
	Synced bool
	// StoreAge is how long ago its documents were last known to be those of the store.
	StoreAge Age
	// Contacts holds an age for each member, in the order of the membership: the documents of the reporting instance include
	// those that the member held that long ago. It is empty when StoreAge suffices.
	Contacts []Age
}
