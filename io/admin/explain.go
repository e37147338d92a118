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

// Explanation is everything that the instances remember of one request.
type Explanation struct {
	RequestID trace.ID          `json:"requestId"`
	Customer  types.CustomerID  `json:"customer"`
	Database  types.DatabaseID  `json:"database"`
	Session   types.SessionName `json:"session,omitempty"`
	Steps     []ExplainedStep   `json:"steps"`
	// Dropped counts events that the instances did not keep.
	Dropped int `json:"dropped,omitempty"`
	// Unresponsive lists the instances that did not answer, so that steps may be missing.
	Unresponsive []types.InstanceID `json:"silent,omitempty"`
}

// ExplainedStep is one event of a request and where it happened.
type ExplainedStep struct {
	Instance types.InstanceID `json:"instance"`
	trace.Event
}

// Explain asks the instances for their trails of a request and merges them in the order of the instances' clocks.
func (c *Client) Explain(ctx context.Context, instances []fleet.Instance, id trace.ID) Explanation {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	trails := make([]trace.Trace, len(instances))
	problems := make([]error, len(instances))
	forEachInstance(instances, func(index int, instance fleet.Instance) {
		problems[index] = c.getJSON(ctx, instance, "/debug/requests/"+id.String(), &trails[index])
	})
	explained := Explanation{RequestID: id}
	for index, problem := range problems {
		switch {
		case problem == nil:
			explained.addTrace(trails[index])
		case errors.Is(problem, errNotFound):
		default:
			explained.Unresponsive = append(explained.Unresponsive, instances[index].ID)
		}
	}
	slices.SortStableFunc(explained.Steps, func(a, b ExplainedStep) int { return a.At.Compare(b.At) })
	return explained
}

func (e *Explanation) addTrace(trail trace.Trace) {
	e.Dropped += trail.Dropped
	if e.Customer == "" {
		e.Customer, e.Database, e.Session = trail.Customer, trail.Database, trail.Session
	}
	for _, event := range trail.Events {
		e.Steps = append(e.Steps, ExplainedStep{Instance: trail.Instance, Event: event})
	}
}

// Elapsed returns the time from the first step to the last.
func (e *Explanation) Elapsed() time.Duration {
	if len(e.Steps) == 0 {
		return 0
	}
	return e.Steps[len(e.Steps)-1].At.Sub(e.Steps[0].At)
}
