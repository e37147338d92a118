package trace

import (
	"strings"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// Event is one event in the trace of a request.
type Event struct {
	// At is when the event happened; Recorder.Add sets it when it is zero.
	At     time.Time        `json:"at"`
	Step   Step             `json:"what"`
	Peer   types.InstanceID `json:"peer,omitempty"`
	Target types.TargetID   `json:"target,omitempty"`
	// Replica reports whether Target is a replica.
	Replica  bool           `json:"replica,omitempty"`
	Term     types.Term     `json:"term,omitempty"`
	Position types.Position `json:"position,omitempty"`
	Kind     fault.Kind     `json:"kind,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// Describe returns the event as text for an operator.
func (e Event) Describe() string {
	parts := []string{e.Step.description()}
	if e.Peer != "" {
		parts = append(parts, "peer "+string(e.Peer))
	}
	if e.Target != "" {
		parts = append(parts, e.role()+" "+string(e.Target))
	}
	if e.Term != 0 {
		parts = append(parts, "term "+e.Term.String())
	}
	if e.Position != 0 {
		parts = append(parts, "position "+e.Position.String())
	}
	if e.Kind != "" {
		parts = append(parts, "error "+string(e.Kind))
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	return strings.Join(parts, ", ")
}

func (e Event) role() string {
	if e.Replica {
		return "replica"
	}
	return "target"
}
