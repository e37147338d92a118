package load

import (
	"time"

	"turmericpulley/core/audit"
)

// request is what one caller sends at a time: one statement or one transaction.
type request struct {
	class Class
	// transaction says that the steps are sent between BEGIN and COMMIT.
	transaction bool
	steps       []step
	// intendedStart is when the request was due to start.
	intendedStart time.Time
	// onFinished is called with the outcome when the request has ended; it may be nil.
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
