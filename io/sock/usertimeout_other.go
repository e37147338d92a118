//go:build !linux

package sock

import (
	"net"
	"time"
)

// SetUserTimeout does nothing, because this system has no such option. Keep-alive probes detect unresponsive connections
// instead.
func SetUserTimeout(net.Conn, time.Duration) {}
