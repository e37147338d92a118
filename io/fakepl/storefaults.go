package fakepl

import (
	"maps"
	"slices"
	"strings"
)

// Copy is the content of a store at a revision.
type Copy struct {
	revision uint64
	items    map[string]item
	history  []item
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// Restore replaces the store's content by an earlier copy and begins a new era. Later changes are lost, their revisions are given out
// again, and waiting watches are cut. The lost values under the rewritten prefixes are written again at once.
func (s *Store) Restore(c Copy, rewritten ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.items
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.era++
	s.wake()
	for _, prefix := range rewritten {
		for key, i := range lost {
			if strings.HasPrefix(key, prefix) && string(s.items[key].Value) != string(i.Value) {
				s.set(item{Key: key, Value: i.Value})
			}
		}
	}
}

// ForceStatus makes the store respond to every request except promote with the status; 0 restores normal operation.
func (s *Store) ForceStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forcedStatus = status
	s.wake()
}

// RefuseWrites makes the store refuse transactions with status 503. Reads work as before.
func (s *Store) RefuseWrites(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = refuse
}

// LoseResponses makes transactions take effect without a response; the connection is closed instead.
func (s *Store) LoseResponses(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseResponses = lose
}

// WithholdResponses makes transactions take effect without a response; the connection stays open.
func (s *Store) WithholdResponses(withhold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withholdResponses = withhold
}

// Compact drops the history. Watches from an earlier revision get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision, s.history = s.revision, nil
	s.wake()
}
