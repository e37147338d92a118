package peers

import (
	"sync"
	"time"
)

const (
	// sessionCheckInterval is the time between two looks at every session.
	sessionCheckInterval = 250 * time.Millisecond
	// pingAfter is how long a session in use may be quiet before it is asked for a sign of life.
	pingAfter = 500 * time.Millisecond
	// pingTimeout is how long a session that was asked may stay quiet.
	pingTimeout = 1500 * time.Millisecond
)

// sessionMonitor closes the sessions in use that have gone silent for good. A busy session is not silent: any byte counts.
type sessionMonitor struct {
	counters   *Counters
	health     *localHealth
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]bool
}

func newSessionMonitor(counters *Counters) *sessionMonitor {
	k := &sessionMonitor{counters: counters, health: newLocalHealth(), stop: make(chan struct{}), sessions: make(map[*session]bool)}
	k.goroutines.Go(func() {
		ticker := time.NewTicker(sessionCheckInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-k.stop:
				return
			case <-ticker.C:
				now := time.Now()
				lateness := now.Sub(last) - sessionCheckInterval
				last = now
				k.health.recordLateness(lateness)
				k.check(now, lateness > sessionCheckInterval)
			}
		}
	})
	return k
}

func (k *sessionMonitor) close() {
	close(k.stop)
	k.goroutines.Wait()
}

// add starts looking at a session.
func (k *sessionMonitor) add(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sessions[s] = true
}

// check asks quiet sessions for a sign of life and closes those that gave none; after a pause of the process the sessions
// get their time anew.
func (k *sessionMonitor) check(now time.Time, paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for s := range k.sessions {
		switch {
		case s.IsClosed():
			delete(k.sessions, s)
		case s.NumStreams() == 0 || paused || now.Sub(s.conn.lastReceivedAt()) < pingAfter:
			s.pingedAt = time.Time{}
		case s.pingedAt.IsZero():
			s.pingedAt = now
			k.goroutines.Go(func() { _, _ = s.Ping() })
		case now.Sub(s.pingedAt) > pingTimeout:
			delete(k.sessions, s)
			k.counters.SessionsUnresponsive.Add(1)
			k.goroutines.Go(func() { closeQuietly(s) })
		}
	}
}
