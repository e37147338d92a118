package owner

import (
	"time"

	"turmericpulley/core/reads"
	"turmericpulley/io/pgcli"
)

// pooledConn is a connection to a target that several transactions use one after another.
type pooledConn struct {
	*pgcli.Conn
	// session is the session whose settings are set on the connection.
	session reads.Session
	// settings are the statements that set them.
	settings [][]byte
	// readOnly is set when the connection refuses writes even if the target becomes primary.
	readOnly bool
	// dirty is set when the connection may hold the state of a session, until it is reset.
	dirty bool
	// idleSince is the time at which the connection was last returned to the pool.
	idleSince time.Time
	// cancelSent is set once a cancel request was sent. The target may execute it late, so the connection isn't reused.
	cancelSent bool
}
