//go:build !linux

package pgcli

import (
	"net"
	"time"
)

// limitSilence has no counterpart on this system; keep-alive probes find silent connections instead.
func limitSilence(net.Conn, time.Duration) {}
