package peers

import (
	"turmericpulley/core/fleet"
)

// event is what a proposer reacts to: proposed, reported or probed.
type event interface{ event() }

// proposed brings a join or a leave.
type proposed struct {
	change fleet.Change
	result chan<- error
}

// reported brings a failure report.
type reported struct{ report fleet.FailureReport }

// probed brings the outcome of the proposer's own probe.
type probed struct {
	subject fleet.IncarnationID
	// answers is true when the instance answered.
	answers bool
	// excused is true when nothing follows from the missing answer.
	excused bool
}

func (proposed) event() {}
func (reported) event() {}
func (probed) event()   {}
