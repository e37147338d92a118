package group

import (
	"context"
	"time"

	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// Conn is a connection to a member; it is used by one goroutine at a time.
type Conn interface {
	// Exchange sends the statements together and returns the answer to each; after an error the connection is of no use,
	// and statements without an answer may have run.
	Exchange(deadline time.Time, statements ...stmt.Statement) ([]stmt.Reply, error)
	// Position returns where the member's log was when the connection was opened.
	Position() types.LogPosition
	// Reusable reports whether the idle connection is open and the member has sent nothing unasked.
	Reusable() bool
	// Close ends the connection; the member rolls back what is open.
	Close()
}

// Dialer opens connections to members.
type Dialer interface {
	// Dial opens a connection; a member that refuses it is reported as Refused.
	Dial(ctx context.Context, member routes.Member) (Conn, error)
	// ParseStatus reads the row that a member answers to a status statement.
	ParseStatus(row string) (stmt.MemberStatus, error)
}

// RefusedError is the error of a member that does not take a connection.
type RefusedError struct {
	Code stmt.Code
	Text string
}

// Error returns what the member said.
func (r RefusedError) Error() string {
	return "the member refused the connection: " + string(r.Code) + " " + r.Text + "; it is tried again shortly"
}
