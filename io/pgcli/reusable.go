package pgcli

import "turmericpulley/io/sock"

// Reusable reports whether an idle connection is still open and no unread bytes have arrived on it.
func (c *Conn) Reusable() bool { return !c.HasUnreadBytes() && sock.IsOpenAndIdle(c.netConn) }
