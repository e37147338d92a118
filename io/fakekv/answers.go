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

// listResponse answers a listing or a watch.
type listResponse struct {
	Revision types.Revision `json:"revision"`
	Entries  []entry        `json:"entries"`
}

// revisionResponse answers a write.
type revisionResponse struct {
	Revision types.Revision `json:"revision"`
}

// leaseResponse answers the creation of a lease.
type leaseResponse struct {
	Lease leaseID `json:"lease"`
}

// emptyResponse answers calls that report nothing but success.
type emptyResponse struct{}

// errorResponse answers a failed call.
type errorResponse struct {
	Message string `json:"message"`
}
