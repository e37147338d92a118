package pgcli

import "turmericpulley/io/sock"

// Reusable reports whether an idle connection is still open and has sent nothing unasked.
func (c *Conn) Reusable() bool { return !c.HasUnreadBytes() && sock.IsOpenAndIdle(c.netConn) }
