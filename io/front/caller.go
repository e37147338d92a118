package front

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
)

// CallerConn is a caller's connection; it is used by one goroutine, but for Interrupt and Close.
type CallerConn interface {
	// ReadStartup waits for the message that opens the session and returns the database name.
	ReadStartup() (routes.Name, error)
	// AcceptStartup tells the caller that its session is open.
	AcceptStartup() error
	// RejectStartup answers the opening message with an error.
	RejectStartup(code stmt.Code, text string) error
	// Next waits for the next statement; errors are ErrDone, Malformed and those of the connection.
	Next() (stmt.Statement, error)
	// Reply sends the complete answer to a statement.
	Reply(r stmt.Reply) error
	// SetIdleTimeout bounds the wait for the next statement; zero means no bound.
	SetIdleTimeout(limit time.Duration) error
	// Interrupt ends a wait for the next statement with os.ErrDeadlineExceeded.
	Interrupt()
	// Pending reports whether something has arrived that was not read yet.
	Pending() bool
	// Close ends the connection.
	Close() error
}

// ErrSessionEnded reports that the caller ended its session.
var ErrSessionEnded = errors.New("the caller ended its session")

// MalformedError is the error of a message that cannot be understood; the session goes on.
type MalformedError struct {
	Detail string
}

// Error says what is wrong with the message.
func (m MalformedError) Error() string { return m.Detail + "; correct the message" }
