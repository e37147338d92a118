package peers

import (
	"turmericpulley/core/fleet"
)

// event is what a proposer handles: changeProposed, failureReported or probeFinished.
type event interface{ event() }

// changeProposed is a request to write a join or a leave; the outcome is sent to result.
type changeProposed struct {
	change fleet.Change
	result chan<- error
}

// failureReported is a failure report of this or another instance.
type failureReported struct{ report fleet.FailureReport }

// probeFinished is the outcome of the proposer's own probe of a reported instance.
type probeFinished struct {
	// probed is the incarnation that the probe was sent to.
	probed fleet.IncarnationID
	// responded is true when the instance responded.
	responded bool
	// inconclusive is true when the probe failed for a reason that lies with this process.
	inconclusive bool
}

func (changeProposed) event()  {}
func (failureReported) event() {}
func (probeFinished) event()   {}
