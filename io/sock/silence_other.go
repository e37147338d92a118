//go:build !linux

package sock

import (
	"net"
	"time"
)

// SetUserTimeout has no counterpart on this system; keep-alive probes find silent connections instead.
func SetUserTimeout(net.Conn, time.Duration) {}
