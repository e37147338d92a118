//go:build !linux

package sock

import "net"

// Quiet cannot ask the kernel on this system; the next use of the connection tells.
func Quiet(net.Conn) bool { return true }
