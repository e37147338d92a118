package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"turmericpulley/core/clock"
)

// servedInstancePeriod is how long an instance counts as reaching the store after an answer that shows it. It is longer than the
// time between two renewals of leases, so that these need no new search.
const servedInstancePeriod = 3 * time.Second

// servedInstances records which other instances lately reached the store and answered this one. It is safe for concurrent use.
//
// When the store refuses a part of the fleet while the network is split as well, most of the other instances are no way to the
// store, and one chosen at random costs the time until its answer is given up.
type servedInstances struct {
	mu   sync.Mutex
	last map[string]clock.Moment
}

func newServedInstances() *servedInstances { return &servedInstances{last: map[string]clock.Moment{}} }

// record records an answer of the instance at the peer address that shows that the store serves it.
func (s *servedInstances) record(address string, at clock.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[address] = at
}

// addresses returns the peer addresses of those that answered within servedInstancePeriod, the latest first.
func (s *servedInstances) addresses(now clock.Moment) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []string
	for address, at := range s.last {
		if now.Sub(at) > servedInstancePeriod {
			delete(s.last, address)
			continue
		}
		recent = append(recent, address)
	}
	slices.SortFunc(recent, func(a, b string) int {
		if s.last[a] != s.last[b] {
			return int(s.last[b].Sub(s.last[a]))
		}
		return strings.Compare(a, b)
	})
	return recent
}
