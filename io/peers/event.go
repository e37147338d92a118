package peers

import (
	"turmericpulley/core/fleet"
)

// event is what a proposer reacts to: proposed, reported or probed.
type event interface{ event() }

// changeProposed brings a join or a leave.
type changeProposed struct {
	change fleet.Change
	result chan<- error
}

// failureReported brings a failure report.
type failureReported struct{ report fleet.FailureReport }

// probeFinished brings the outcome of the proposer's own probe.
type probeFinished struct {
	subject fleet.IncarnationID
	// responded is true when the instance answered.
	responded bool
	// inconclusive is true when nothing follows from the missing answer.
	inconclusive bool
}

func (changeProposed) event()  {}
func (failureReported) event() {}
func (probeFinished) event()   {}
