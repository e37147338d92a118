//go:build !linux

package pgcli

// Quiet reports whether an idle connection has sent nothing unasked.
func (c *Conn) Quiet() bool { return !c.Pending() }
