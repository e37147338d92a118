package owner

import (
	"turmericpulley/core/reads"
	"turmericpulley/io/pgcli"
)

// pooled is a connection that transactions use in turn.
type pooled struct {
	*pgcli.Conn
	// session is the one whose settings the connection still carries.
	session  reads.Session
	settings string
	used     bool
}
