package pgcli

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Quiet reports whether an idle connection is still open and has sent nothing unasked.
func (c *Conn) Quiet() bool {
	if c.Pending() {
		return false
	}
	tcp, ok := c.network.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, receiveError := unix.Recvfrom(int(descriptor), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = receiveError == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
