package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpenAndIdle reports whether a connection is open and its receive buffer in the kernel is empty. It peeks at the socket
// without blocking. A connection without access to its socket counts as open and idle.
func IsOpenAndIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	// Control works also when the deadline of the last read has passed, unlike Read.
	err = raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		_, _, receiveError := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = receiveError == unix.EAGAIN
	})
	return err == nil && idle
}
