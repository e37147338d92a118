package fakekv

import "time"

// Milliseconds is a span of time as written in the platform's documents.
type Milliseconds int64

// Std returns the span as the standard library's type.
func (m Milliseconds) Std() time.Duration { return time.Duration(m) * time.Millisecond }

// Faults describes how the platform misbehaves.
type Faults struct {
	// Down answers every call with 503, without effect.
	Down bool `json:"down"`
	// DelayMs holds every call back before it takes effect.
	DelayMs Milliseconds `json:"delayMs"`
	// LoseAnswers is how many of the next writes take effect without being answered.
	LoseAnswers int `json:"loseAnswers"`
	// ListLagMs is the age of the target list that callers see.
	ListLagMs Milliseconds `json:"listLagMs"`
}
