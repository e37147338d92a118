package admin

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
)

// Explanation holds the events that the instances recorded for one request.
type Explanation struct {
	RequestID trace.ID          `json:"requestId"`
	Customer  types.AccountID   `json:"customer"`
	Database  types.DatabaseID  `json:"database"`
	Session   types.SessionName `json:"session,omitempty"`
	Steps     []ExplainedStep   `json:"steps"`
	// Dropped is the number of events that the instances did not keep.
	Dropped int `json:"dropped,omitempty"`
	// Unresponsive lists the instances that did not answer; steps may be missing.
	Unresponsive []types.InstanceID `json:"silent,omitempty"`
}

// ExplainedStep is one event of a request and the instance that recorded it.
type ExplainedStep struct {
	Instance types.InstanceID `json:"instance"`
	trace.Event
}

// Explain reads the traces of a request from the instances and sorts their events by time. Each instance takes the time from
// its own clock.
func (c *Client) Explain(ctx context.Context, instances []fleet.Instance, id trace.ID) Explanation {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	traces := make([]trace.Trace, len(instances))
	errs := make([]error, len(instances))
	forEachInstance(instances, func(index int, instance fleet.Instance) {
		errs[index] = c.getJSON(ctx, instance, "/debug/requests/"+id.String(), &traces[index])
	})
	explanation := Explanation{RequestID: id}
	for index, err := range errs {
		switch {
		case err == nil:
			explanation.addTrace(traces[index])
		case errors.Is(err, errNotFound):
		default:
			explanation.Unresponsive = append(explanation.Unresponsive, instances[index].ID)
		}
	}
	slices.SortStableFunc(explanation.Steps, func(a, b ExplainedStep) int { return a.At.Compare(b.At) })
	return explanation
}

func (e *Explanation) addTrace(recorded trace.Trace) {
	e.Dropped += recorded.Dropped
	if e.Customer == "" {
		e.Customer, e.Database, e.Session = recorded.Customer, recorded.Database, recorded.Session
	}
	for _, event := range recorded.Events {
		e.Steps = append(e.Steps, ExplainedStep{Instance: recorded.Instance, Event: event})
	}
}

// Elapsed returns the time from the first step to the last.
func (e *Explanation) Elapsed() time.Duration {
	if len(e.Steps) == 0 {
		return 0
	}
	return e.Steps[len(e.Steps)-1].At.Sub(e.Steps[0].At)
}
