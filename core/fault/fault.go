package fault

import (
	"time"

	"github.com/pkg/errors"
)

// Fault is an error with a kind, an outcome and a remedy.
type Fault struct {
	Kind    Kind
	Outcome Outcome
	Detail  string
	// RetryAfter is how long a caller whose request has not run should wait before it retries; zero means that it is unknown.
	RetryAfter time.Duration
}

// WithRetryAfter sets RetryAfter, not below zero, and returns the fault itself.
func (f *Fault) WithRetryAfter(wait time.Duration) *Fault {
	f.RetryAfter = max(wait, 0)
	return f
}

// New returns a fault of the kind with the outcome that belongs to the kind.
func New(kind Kind, detail string) *Fault {
	return &Fault{Kind: kind, Outcome: describe(kind).outcome, Detail: detail}
}

// Error returns the outcome, the detail and the remedy.
func (f *Fault) Error() string {
	return f.Outcome.String() + ": " + f.Detail + "; " + f.Remedy()
}

// Remedy returns what the reader of the error can do about it.
func (f *Fault) Remedy() string { return describe(f.Kind).remedy }

// SQLState returns the SQLSTATE that PostgreSQL callers receive.
func (f *Fault) SQLState() string { return describe(f.Kind).sqlState }

// From returns the fault that an error wraps, or nil when it wraps none.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}
