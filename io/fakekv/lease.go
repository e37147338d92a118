package fakekv

import (
	"sort"
	"strconv"
	"time"
)

// leaseID identifies a lease.
type leaseID string

// lease is the state of one lease. The keys attached to it are deleted when it is not renewed before its deadline.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
}

// grantLease creates a lease.
func (s *store) grantLease(ttl time.Duration) leaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := leaseID("lease-" + strconv.FormatUint(uint64(s.revision), 10))
	l := &lease{ttl: ttl, deadline: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expireLease(id) })
	s.leases[id] = l
	return id
}

// renewLease sets the deadline of a lease to one time to live from now.
func (s *store) renewLease(id leaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.activeLease(id)
	if l == nil {
		return errNoLease
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// expireLease removes a lease whose deadline has passed, and deletes its keys.
func (s *store) expireLease(id leaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.leases[id] == nil || s.activeLease(id) != nil {
		return
	}
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.lease == id && !it.deleted {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.write(key, item{deleted: true})
	}
}
