package peers

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// keepAliveInterval is the time between two checks of a connection.
	keepAliveInterval = time.Second
	// sessionWriteTimeout bounds a write to a connection and the answer to a check.
	sessionWriteTimeout = 1500 * time.Millisecond
	// streamCloseTimeout bounds the closing of a stream whose other end does not close it.
	streamCloseTimeout = 10 * time.Second
	// acceptBacklog is the number of streams that may wait to be accepted.
	acceptBacklog = 4096
)

// sessionSettings makes a silent connection end within three seconds.
func sessionSettings() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.AcceptBacklog = acceptBacklog
	settings.KeepAliveInterval = keepAliveInterval
	settings.ConnectionWriteTimeout = sessionWriteTimeout
	settings.StreamOpenTimeout = 0
	settings.StreamCloseTimeout = streamCloseTimeout
	settings.LogOutput = io.Discard
	return settings
}

// dialSession opens a connection to another instance.
func dialSession(ctx context.Context, address string, counters *Counters) (*yamux.Session, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to another instance")
	}
	counters.SessionsDialled.Add(1)
	session, err := yamux.Client(&conn{Conn: opened, counters: counters}, sessionSettings())
	if err != nil {
		closeQuietly(opened)
		return nil, errors.Wrap(err, "starting a session")
	}
	return session, nil
}

// acceptSession serves a connection that another instance opened.
func acceptSession(accepted net.Conn, counters *Counters) (*yamux.Session, error) {
	session, err := yamux.Server(&conn{Conn: accepted, counters: counters}, sessionSettings())
	return session, errors.Wrap(err, "starting a session")
}
