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
	// RetryAfter is when a caller whose request has not run should come back; zero is unknown.
	RetryAfter time.Duration
}

// WithRetryAfter returns the fault with the time after which the caller should come back.
func (f *Fault) WithRetryAfter(span time.Duration) *Fault {
	f.RetryAfter = max(span, 0)
	return f
}

// New returns a fault of the kind with its usual outcome.
func New(kind Kind, detail string) *Fault {
	return &Fault{Kind: kind, Outcome: describe(kind).outcome, Detail: detail}
}

// Error returns the outcome, what happened and the remedy.
func (f *Fault) Error() string {
	return f.Outcome.String() + ": " + f.Detail + "; " + f.Remedy()
}

// Remedy returns what the reader of the error can do about it.
func (f *Fault) Remedy() string { return describe(f.Kind).remedy }

// SQLState returns the code that PostgreSQL callers see.
func (f *Fault) SQLState() string { return describe(f.Kind).sqlState }

// From returns the fault inside an error, or nil when there is none.
func From(err error) *Fault {
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return nil
}
