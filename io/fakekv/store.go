package fakekv

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// errNoLease reports that a lease has expired or never existed.
var errNoLease = errors.New("the lease does not exist; create a new one")

// store holds the keys and the leases. One revision counter serves both.
type store struct {
	mu       sync.Mutex
	revision types.Revision
	items    map[string]item
	leases   map[leaseID]*lease
	changed  chan struct{}
	closed   bool
}

// item is the last state of a key. A deleted key keeps its item, so that watches return the deletion.
type item struct {
	value    string
	revision types.Revision
	deleted  bool
	lease    leaseID
}

func newStore(seed map[string]string) *store {
	s := &store{items: map[string]item{}, leases: map[leaseID]*lease{}, changed: make(chan struct{})}
	keys := make([]string, 0, len(seed))
	for key := range seed {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.write(key, item{value: seed[key]})
	}
	return s
}

// write stores the item under the next revision; the caller holds the lock.
func (s *store) write(key string, it item) types.Revision {
	s.revision++
	it.revision = s.revision
	s.items[key] = it
	s.wake()
	return s.revision
}

// wake makes every waiting watch list the keys again; the caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok && !it.deleted
}

// currentRevision returns the revision of a key, or 0 if the key does not exist; the caller holds the lock.
func (s *store) currentRevision(key string) types.Revision {
	if it, ok := s.items[key]; ok && !it.deleted {
		return it.revision
	}
	return 0
}

// put writes a value if the precondition holds. It returns the new revision and true, or the current revision and
// false.
func (s *store) put(key, value string, condition precondition, id leaseID) (types.Revision, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" && s.activeLease(id) == nil {
		return 0, false, errNoLease
	}
	if current := s.currentRevision(key); !condition.holds(current) {
		return current, false, nil
	}
	return s.write(key, item{value: value, lease: id}), true, nil
}

// remove deletes a key if the precondition holds. It returns the same as put; if there is no key to delete, it returns
// the revision of the store and true.
func (s *store) remove(key string, condition precondition) (types.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentRevision(key)
	if !condition.holds(current) {
		return current, false
	}
	if current == 0 {
		return s.revision, true
	}
	return s.write(key, item{deleted: true}), true
}

// list returns the entries under a prefix that changed after a revision, and a channel that is closed at the next
// change.
func (s *store) list(prefix string, after types.Revision) (listResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := listResponse{Revision: s.revision, Entries: []entry{}}
	for key, it := range s.items {
		if it.revision > after && strings.HasPrefix(key, prefix) {
			found.Entries = append(found.Entries, entry{key, it.value, it.revision, it.deleted})
		}
	}
	sort.Slice(found.Entries, func(i, j int) bool {
		return found.Entries[i].Revision < found.Entries[j].Revision
	})
	return found, s.changed
}

// close stops the timers of all leases, so that no lease expires any more.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// activeLease returns the lease, or nil if it has expired or does not exist; the caller holds the lock.
func (s *store) activeLease(id leaseID) *lease {
	l := s.leases[id]
	if l == nil || !time.Now().Before(l.deadline) {
		return nil
	}
	return l
}
