package front

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/acct"
	"turmericpulley/core/budget"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
)

// CallerConn is the connection of a caller. Only one goroutine may use it, but others may call Interrupt and Close.
type CallerConn interface {
	// ReadStartup waits for the message that opens the session and returns the database name in it, which names a route, and the digest of
	// the caller's key.
	ReadStartup() (routes.Name, acct.Digest, error)
	// AcceptStartup tells the caller that its session is open.
	AcceptStartup() error
	// RejectStartup answers the opening message with an error.
	RejectStartup(code stmt.Code, text string) error
	// Next waits for the next statement. Its errors are ErrSessionEnded, MalformedError, with the statement's id if it has one, and those of
	// the connection.
	Next() (stmt.Statement, error)
	// Reply sends the complete reply to a statement.
	Reply(r stmt.Reply) error
	// SetIdleTimeout bounds the wait for the next message; zero means no bound.
	SetIdleTimeout(timeout time.Duration) error
	// Interrupt makes a waiting Next return os.ErrDeadlineExceeded.
	Interrupt()
	// HasUnreadBytes reports whether data has arrived that was not read yet.
	HasUnreadBytes() bool
	// Bind makes the connection count what it holds for large messages and answers; Next returns ErrNoRoom when there is no room for a
	// message.
	Bind(h *budget.Holder)
	// Close closes the connection. Any goroutine may call it.
	Close() error
}

// ErrSessionEnded means that the caller ended its session.
var ErrSessionEnded = errors.New("the caller ended its session")

// ErrNoRoom means that the instance had no room for a large message. The message was read to its end and dropped.
var ErrNoRoom = errors.New("the instance has no room for a message of this size now; it has not run; come back in a second")

// MalformedError is the error when a message cannot be parsed; the session continues.
type MalformedError struct {
	Detail string
}

// Error returns what is wrong with the message.
func (m MalformedError) Error() string { return m.Detail + "; correct the message" }
