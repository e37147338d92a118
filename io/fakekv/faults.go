package fakekv

import "time"

// Milliseconds is a span of time as written in the platform's documents.
type Milliseconds int64

// Duration returns the span as the standard library's type.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Faults describes how the platform misbehaves.
type Faults struct {
	// Down answers every call with 503, without effect.
	Down bool `json:"down"`
	// DelayMs holds every call back before it takes effect.
	DelayMs Milliseconds `json:"delayMs"`
	// LoseResponses is how many of the next writes take effect without being answered.
	LoseResponses int `json:"loseAnswers"`
	// ListLagMs is the age of the target list that callers see.
	ListLagMs Milliseconds `json:"listLagMs"`
}
