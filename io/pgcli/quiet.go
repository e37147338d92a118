package pgcli

import "turmericpulley/io/sock"

// Quiet reports whether an idle connection is still open and has sent nothing unasked.
func (c *Conn) Quiet() bool { return !c.Pending() && sock.Quiet(c.network) }
