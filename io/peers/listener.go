package peers

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// acceptRetryDelay is the wait after a connection could not be accepted, usually because file descriptors ran out.
const acceptRetryDelay = 50 * time.Millisecond

// listener accepts sessions from other instances and calls serve for each of their streams.
type listener struct {
	netListener    net.Listener
	counters       *Counters
	sessionMonitor *sessionMonitor
	serve          func(session *session, stream *yamux.Stream)
	goroutines     sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]bool
	closed   bool
}

func newListener(
	netListener net.Listener, counters *Counters, monitor *sessionMonitor, serve func(*session, *yamux.Stream),
) *listener {
	l := &listener{
		netListener: netListener, counters: counters, sessionMonitor: monitor, serve: serve, sessions: make(map[*session]bool),
	}
	l.goroutines.Go(func() {
		for {
			accepted, err := netListener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryDelay)
				continue
			}
			l.serveConn(accepted)
		}
	})
	return l
}

// serveConn starts to serve the streams of a connection until it ends.
func (l *listener) serveConn(accepted net.Conn) {
	session, err := acceptSession(accepted, l.counters)
	if err != nil {
		closeQuietly(accepted)
		return
	}
	if !l.add(session) {
		closeQuietly(session)
		return
	}
	l.sessionMonitor.add(session)
	l.goroutines.Go(func() {
		defer l.remove(session)
		for {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			l.goroutines.Go(func() {
				defer closeQuietly(stream)
				l.serve(session, stream)
			})
		}
	})
}

func (l *listener) add(session *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[session] = true
	return true
}

func (l *listener) remove(session *session) {
	closeQuietly(session)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, session)
}

// close closes all sessions and waits until serve has returned for each of their streams.
func (l *listener) close() {
	closeQuietly(l.netListener)
	l.mu.Lock()
	l.closed = true
	sessions := make([]*session, 0, len(l.sessions))
	for session := range l.sessions {
		sessions = append(sessions, session)
	}
	l.mu.Unlock()
	closing := sync.WaitGroup{}
	for _, session := range sessions {
		closing.Go(func() { closeQuietly(session) })
	}
	closing.Wait()
	l.goroutines.Wait()
}
