package load

import (
	"time"

	"turmericpulley/core/audit"
)

// request is one unit of work of a session.
type request struct {
	class Class
	// transaction sends the steps between BEGIN and COMMIT.
	transaction bool
	steps       []step
	// intendedStart is when the request was due to start.
	intendedStart time.Time
	// onFinished tells the session how the request ended; nil when it does not matter.
	onFinished func(audit.Outcome)
}

// isWrite reports whether any step changes a row.
func (r request) isWrite() bool {
	for _, s := range r.steps {
		if s.kind != audit.Read {
			return true
		}
	}
	return false
}
