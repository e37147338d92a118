package owner

import (
	"time"

	"turmericpulley/core/reads"
	"turmericpulley/io/pgcli"
)

// pooled is a connection that transactions use in turn.
type pooled struct {
	*pgcli.Conn
	// session is the one whose settings the connection still carries.
	session  reads.Session
	settings string
	// readOnly tells that the target refuses writes on the connection whatever its role becomes.
	readOnly bool
	used     bool
	// idleSince is when the connection was last returned.
	idleSince time.Time
	// poisoned tells that a cancel request was sent, which the target may carry out late.
	poisoned bool
}
