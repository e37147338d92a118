package peers

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// acceptPause follows a connection that could not be accepted, usually for want of file descriptors.
const acceptPause = 50 * time.Millisecond

// listener accepts sessions and hands their streams to a function.
type listener struct {
	accepting net.Listener
	counters  *Counters
	serve     func(session *yamux.Session, stream *yamux.Stream)
	running   sync.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]bool
	closed   bool
}

func newListener(
	address string, counters *Counters, serve func(*yamux.Session, *yamux.Stream),
) (*listener, error) {
	accepting, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listening for other instances")
	}
	l := &listener{accepting: accepting, counters: counters, serve: serve, sessions: make(map[*yamux.Session]bool)}
	l.running.Go(func() {
		for {
			accepted, err := accepting.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptPause)
				continue
			}
			l.start(accepted)
		}
	})
	return l, nil
}

// start serves a connection until it ends.
func (l *listener) start(accepted net.Conn) {
	session, err := acceptSession(accepted, l.counters)
	if err != nil {
		closeQuietly(accepted)
		return
	}
	if !l.add(session) {
		closeQuietly(session)
		return
	}
	l.running.Go(func() {
		defer l.remove(session)
		for {
			stream, err := session.AcceptStream()
			if err != nil {
				return
			}
			l.running.Go(func() {
				defer closeQuietly(stream)
				l.serve(session, stream)
			})
		}
	})
}

func (l *listener) add(session *yamux.Session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.sessions[session] = true
	return true
}

func (l *listener) remove(session *yamux.Session) {
	closeQuietly(session)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, session)
}

// close ends all sessions and waits for their streams.
func (l *listener) close() {
	closeQuietly(l.accepting)
	l.mu.Lock()
	l.closed = true
	sessions := make([]*yamux.Session, 0, len(l.sessions))
	for session := range l.sessions {
		sessions = append(sessions, session)
	}
	l.mu.Unlock()
	closing := sync.WaitGroup{}
	for _, session := range sessions {
		closing.Go(func() { closeQuietly(session) })
	}
	closing.Wait()
	l.running.Wait()
}
