package fakekv

import "time"

// Milliseconds is a duration as the platform's documents write it.
type Milliseconds int64

// Duration converts the value to a time.Duration.
func (m Milliseconds) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Faults describes the faults that the platform injects.
type Faults struct {
	// Down makes the platform respond to every call with status 503; the call has no effect.
	Down bool `json:"down"`
	// DelayMs delays every call of the platform before it takes effect.
	DelayMs Milliseconds `json:"delayMs"`
	// LoseResponses is the number of writes, from the next one on, that take effect but get no response.
	LoseResponses int `json:"loseAnswers"`
	// ListLagMs is the age of the target list that callers see.
	ListLagMs Milliseconds `json:"listLagMs"`
}
