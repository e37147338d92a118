package peers

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// sessionWriteTimeout bounds a write to a connection.
	sessionWriteTimeout = 3 * time.Second
	// streamCloseTimeout bounds the closing of a stream whose other end does not close it.
	streamCloseTimeout = 10 * time.Second
	// acceptBacklog is the largest number of streams that wait to be accepted.
	acceptBacklog = 4096
)

// session is a connection to another instance that carries many streams at the same time.
type session struct {
	*yamux.Session
	conn *muxConn
	// pingedAt is when the session monitor sent a ping after which nothing has arrived; zero when there is none. Only
	// the session monitor uses it.
	pingedAt time.Time
	// retired is set when no new streams are opened; the session monitor then closes the session once it has none.
	retired atomic.Bool
}

// sessionSettings disables the keepalive of yamux: the session monitor finds unresponsive connections, and
// distinguishes them from busy ones. It also disables StreamOpenTimeout, with which yamux closes the whole session
// and all its streams when the other instance accepts one stream too late.
func sessionSettings() *yamux.Config {
	settings := yamux.DefaultConfig()
	settings.AcceptBacklog = acceptBacklog
	settings.EnableKeepAlive = false
	settings.ConnectionWriteTimeout = sessionWriteTimeout
	settings.StreamOpenTimeout = 0
	settings.StreamCloseTimeout = streamCloseTimeout
	settings.LogOutput = io.Discard
	return settings
}

// dialSession opens a connection to another instance.
func dialSession(ctx context.Context, address string, counters *Counters) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to another instance")
	}
	counters.SessionsDialled.Add(1)
	c := newMuxConn(opened, counters)
	started, err := yamux.Client(c, sessionSettings())
	if err != nil {
		closeQuietly(opened)
		return nil, errors.Wrap(err, "starting a session")
	}
	return &session{Session: started, conn: c}, nil
}

// acceptSession starts a session on a connection that another instance opened.
func acceptSession(accepted net.Conn, counters *Counters) (*session, error) {
	c := newMuxConn(accepted, counters)
	started, err := yamux.Server(c, sessionSettings())
	if err != nil {
		return nil, errors.Wrap(err, "starting a session")
	}
	return &session{Session: started, conn: c}, nil
}

// Close closes the connection and waits until the reading side of the session has ended the session. The reading side
// closes the streams at once. If another goroutine ended the session, the readers of the streams would spin until the
// reading side had ended.
func (s *session) Close() error {
	s.conn.disconnect()
	<-s.CloseChan()
	return nil
}

// idleTime returns how long nothing has arrived over the session.
func (s *session) idleTime() time.Duration { return time.Since(s.conn.lastReceivedAt()) }

// responds sends a ping and reports whether the response arrives within the timeout.
func (s *session) responds(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pingResult := make(chan error, 1)
	go func() {
		_, err := s.Ping()
		pingResult <- err
	}()
	select {
	case err := <-pingResult:
		return err == nil
	case <-ctx.Done():
		return false
	}
}
