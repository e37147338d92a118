package peers

import (
	"sync"
	"time"
)

const (
	// sessionCheckInterval is the time between two checks of all sessions.
	sessionCheckInterval = 250 * time.Millisecond
	// pingAfter is how long a session in use may receive nothing before a ping is sent.
	pingAfter = 500 * time.Millisecond
	// pingTimeout is how long a session may receive nothing after a ping before it is closed.
	pingTimeout = 1500 * time.Millisecond
)

// sessionMonitor closes sessions in use that have become unresponsive. Any byte received shows that a session is
// responsive, so that a busy one is not closed.
type sessionMonitor struct {
	counters   *Counters
	health     *localHealth
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]bool
}

func newSessionMonitor(counters *Counters) *sessionMonitor {
	m := &sessionMonitor{counters: counters, health: newLocalHealth(), stop: make(chan struct{}), sessions: make(map[*session]bool)}
	m.goroutines.Go(func() {
		ticker := time.NewTicker(sessionCheckInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-m.stop:
				return
			case <-ticker.C:
				now := time.Now()
				lateness := now.Sub(last) - sessionCheckInterval
				last = now
				m.health.recordLateness(lateness)
				m.check(now, lateness > sessionCheckInterval)
			}
		}
	})
	return m
}

func (m *sessionMonitor) close() {
	close(m.stop)
	m.goroutines.Wait()
}

// add starts to monitor a session.
func (m *sessionMonitor) add(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s] = true
}

// check pings the sessions in use that have received nothing for pingAfter, and closes those that then receive nothing
// for pingTimeout. It closes retired ones that have no streams. When this process was paused, it discards the times of all pings sent before, so that a session is
// closed only after a new ping.
func (m *sessionMonitor) check(now time.Time, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		switch {
		case s.IsClosed():
			delete(m.sessions, s)
		case s.NumStreams() == 0 && s.retired.Load():
			delete(m.sessions, s)
			m.goroutines.Go(func() { closeQuietly(s) })
		case s.NumStreams() == 0 || paused || now.Sub(s.conn.lastReceivedAt()) < pingAfter:
			s.pingedAt = time.Time{}
		case s.pingedAt.IsZero():
			s.pingedAt = now
			m.goroutines.Go(func() { _, _ = s.Ping() })
		case now.Sub(s.pingedAt) > pingTimeout:
			delete(m.sessions, s)
			m.counters.SessionsUnresponsive.Add(1)
			m.goroutines.Go(func() { closeQuietly(s) })
		}
	}
}
