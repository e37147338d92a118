//go:build !linux

package sock

import (
	"net"
	"time"
)

// LimitSilence has no counterpart on this system; keep-alive probes find silent connections instead.
func LimitSilence(net.Conn, time.Duration) {}
