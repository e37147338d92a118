package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsOpenAndIdle reports whether a connection is still open and its other end has sent nothing that was not read.
func IsOpenAndIdle(network net.Conn) bool {
	tcp, ok := network.(syscall.Conn)
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
