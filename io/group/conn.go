package group

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Conn is a connection to a member. Only one goroutine may use it at a time.
type Conn interface {
	// Send sends the statements together. Their replies must have arrived by the deadline. After an error the connection must not
	// be used again, and the statements may have run unless the error is ErrNotSendable.
	Send(deadline time.Time, statements ...stmt.Statement) error
	// Receive returns the next reply. After an error the connection must not be used again.
	Receive() (stmt.Reply, error)
	// Unread returns the number of bytes that have arrived and that no reply was read from yet; for log lines.
	Unread() int
	// Position returns the position of the member's log when the connection was opened.
	Position() types.LogPosition
	// Reusable reports whether the idle connection is still open and the member has sent no unexpected data.
	Reusable() bool
	// Close closes the connection; the member rolls back an open transaction.
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial opens a connection that belongs to the client account; with an empty one it belongs to the instance itself. When the member
	// refuses it, the error is a RefusedError.
	Dial(ctx context.Context, member routes.Member, account types.AccountID) (Conn, error)
	// ParseStatus parses the row with which a member answers a status statement.
	ParseStatus(row string) (stmt.MemberStatus, error)
}

// RefusedError is the error when a member refuses a connection.
type RefusedError struct {
	Code stmt.Code
	Text string
}

// isFull reports whether a member took no connection because it has too many.
func isFull(err error) bool {
	var r RefusedError
	return errors.As(err, &r) && r.Code == stmt.TooManyConnections
}

// Error returns the member's code and text.
func (r RefusedError) Error() string {
	return "the member refused the connection: " + string(r.Code) + " " + r.Text + "; it is retried shortly"
}
