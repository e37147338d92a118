package trace

import (
	"strings"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// Event is one thing that happened to a request.
type Event struct {
	// At is set by the recorder when it is zero.
	At       time.Time        `json:"at"`
	Step     Step             `json:"what"`
	Peer     types.InstanceID `json:"peer,omitempty"`
	Target   types.TargetID   `json:"target,omitempty"`
	Replica  bool             `json:"replica,omitempty"`
	Term     types.Term       `json:"term,omitempty"`
	Position types.Position   `json:"position,omitempty"`
	Kind     fault.Kind       `json:"kind,omitempty"`
	Detail   string           `json:"detail,omitempty"`
}

// Describe describes the event in one sentence.
func (e Event) Describe() string {
	words := []string{e.Step.description()}
	if e.Peer != "" {
		words = append(words, "peer "+string(e.Peer))
	}
	if e.Target != "" {
		words = append(words, e.role()+" "+string(e.Target))
	}
	if e.Term != 0 {
		words = append(words, "term "+e.Term.String())
	}
	if e.Position != 0 {
		words = append(words, "position "+e.Position.String())
	}
	if e.Kind != "" {
		words = append(words, "error "+string(e.Kind))
	}
	if e.Detail != "" {
		words = append(words, e.Detail)
	}
	return strings.Join(words, ", ")
}

func (e Event) role() string {
	if e.Replica {
		return "replica"
	}
	return "target"
}
