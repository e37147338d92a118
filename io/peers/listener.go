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
	keeper    *keeper
	serve     func(session *session, stream *yamux.Stream)
	running   sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]bool
	closed   bool
}

func newListener(
	accepting net.Listener, counters *Counters, k *keeper, serve func(*session, *yamux.Stream),
) *listener {
	l := &listener{
		accepting: accepting, counters: counters, keeper: k, serve: serve, sessions: make(map[*session]bool),
	}
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
	return l
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
	l.keeper.add(session)
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

// close ends all sessions and waits for their streams.
func (l *listener) close() {
	closeQuietly(l.accepting)
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
	l.running.Wait()
}
