package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// BufferControl returns a function for net.ListenConfig that bounds the bytes that the kernel holds for each accepted connection, in
// both directions. Accepted connections take the bounds over from the listener.
func BufferControl(receive, send int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			// Without the bounds the kernel chooses the sizes, and the connection works all the same.
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
			_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		})
	}
}
