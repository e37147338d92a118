package peers

import (
	"sync"
	"time"
)

const (
	// keeperInterval is the time between two looks at every session.
	keeperInterval = 250 * time.Millisecond
	// quietLimit is how long a session in use may be quiet before it is asked for a sign of life.
	quietLimit = 500 * time.Millisecond
	// replyLimit is how long a session that was asked may stay quiet.
	replyLimit = 1500 * time.Millisecond
)

// keeper closes the sessions in use that have gone silent for good. A busy session is not silent: any byte counts.
type keeper struct {
	counters *Counters
	health   *selfcheck
	stop     chan struct{}
	running  sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]bool
}

func newKeeper(counters *Counters) *keeper {
	k := &keeper{counters: counters, health: newSelfcheck(), stop: make(chan struct{}), sessions: make(map[*session]bool)}
	k.running.Go(func() {
		ticker := time.NewTicker(keeperInterval)
		defer ticker.Stop()
		last := time.Now()
		for {
			select {
			case <-k.stop:
				return
			case <-ticker.C:
				now := time.Now()
				lateness := now.Sub(last) - keeperInterval
				last = now
				k.health.ticked(lateness)
				k.look(now, lateness > keeperInterval)
			}
		}
	})
	return k
}

func (k *keeper) close() {
	close(k.stop)
	k.running.Wait()
}

// add starts looking at a session.
func (k *keeper) add(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sessions[s] = true
}

// look asks quiet sessions for a sign of life and closes those that gave none; after a pause of the process the sessions
// get their time anew.
func (k *keeper) look(now time.Time, paused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for s := range k.sessions {
		switch {
		case s.IsClosed():
			delete(k.sessions, s)
		case s.NumStreams() == 0 || paused || now.Sub(s.conn.lastHeard()) < quietLimit:
			s.asked = time.Time{}
		case s.asked.IsZero():
			s.asked = now
			k.running.Go(func() { _, _ = s.Ping() })
		case now.Sub(s.asked) > replyLimit:
			delete(k.sessions, s)
			k.counters.SessionsSilent.Add(1)
			k.running.Go(func() { closeQuietly(s) })
		}
	}
}
