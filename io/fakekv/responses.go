package fakekv

import "turmericpulley/core/types"

// entry is the last state of one key in a listResponse.
type entry struct {
	Key      string         `json:"key"`
	Value    string         `json:"value"`
	Revision types.Revision `json:"revision"`
	Deleted  bool           `json:"deleted"`
}

// keyResponse is the response to the read of one key.
type keyResponse struct {
	Key      string         `json:"key"`
	Value    string         `json:"value"`
	Revision types.Revision `json:"revision"`
}

// listResponse is the response to a listing or a watch.
type listResponse struct {
	Revision types.Revision `json:"revision"`
	Entries  []entry        `json:"entries"`
}

// revisionResponse is the response to a write.
type revisionResponse struct {
	Revision types.Revision `json:"revision"`
}

// leaseResponse is the response to the creation of a lease.
type leaseResponse struct {
	Lease leaseID `json:"lease"`
}

// emptyResponse is the response to calls that report only success.
type emptyResponse struct{}

// errorResponse is the response to a failed call.
type errorResponse struct {
	Message string `json:"message"`
}
