package owner

import (
	"time"

	"turmericpulley/core/reads"
	"turmericpulley/io/pgcli"
)

// pooledConn is a connection that transactions use in turn.
type pooledConn struct {
	*pgcli.Conn
	// session is the one whose settings the connection still carries.
	session  reads.Session
	settings string
	// readOnly tells that the target refuses writes on the connection whatever its role becomes.
	readOnly bool
	dirty    bool
	// idleSince is when the connection was last returned.
	idleSince time.Time
	// cancelSent tells that a cancel request was sent, which the target may carry out late.
	cancelSent bool
}
