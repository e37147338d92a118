package fakekv

import "turmericpulley/core/types"

// entry is one key as the platform reports it.
type entry struct {
	Key      string         `json:"key"`
	Value    string         `json:"value"`
	Revision types.Revision `json:"revision"`
	Deleted  bool           `json:"deleted"`
}

// document answers the reading of one key.
type document struct {
	Key      string         `json:"key"`
	Value    string         `json:"value"`
	Revision types.Revision `json:"revision"`
}

// page answers a listing or a watch.
type page struct {
	Revision types.Revision `json:"revision"`
	Entries  []entry        `json:"entries"`
}

// revisionAnswer answers a write.
type revisionAnswer struct {
	Revision types.Revision `json:"revision"`
}

// leaseAnswer answers the creation of a lease.
type leaseAnswer struct {
	Lease leaseID `json:"lease"`
}

// emptyAnswer answers calls that report nothing but success.
type emptyAnswer struct{}

// problem answers a failed call.
type problem struct {
	Message string `json:"message"`
}
