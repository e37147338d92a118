package group

import (
	"context"
	"time"

	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Conn is a connection to a member. Only one goroutine may use it at a time.
type Conn interface {
	// Exchange sends the statements together and returns the reply to each. After an error the connection must not be
	// used again, and statements without a reply may have run.
	Exchange(deadline time.Time, statements ...stmt.Statement) ([]stmt.Reply, error)
	// Position returns the position of the member's log when the connection was opened.
	Position() types.LogPosition
	// Reusable reports whether the idle connection is still open and the member has sent no unexpected data.
	Reusable() bool
	// Close closes the connection; the member rolls back an open transaction.
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial opens a connection. When the member refuses it, the error is a RefusedError.
	Dial(ctx context.Context, member routes.Member) (Conn, error)
	// ParseStatus parses the row with which a member answers a status statement.
	ParseStatus(row string) (stmt.MemberStatus, error)
}

// RefusedError is the error when a member refuses a connection.
type RefusedError struct {
	Code stmt.Code
	Text string
}

// Error returns the member's code and text.
func (r RefusedError) Error() string {
	return "the member refused the connection: " + string(r.Code) + " " + r.Text + "; it is retried shortly"
}
