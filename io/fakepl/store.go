package fakepl

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store in the platform's form.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is the platform's store over HTTP; tests set its faults.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	oldest   uint64
	changed  chan struct{}
	status   int
	readOnly bool
	lose     bool
	calls    int
	// Page is the number of items in a page of a range.
	Page int
	// Promote is called for each call to promote with the holder, the token, the database and the member.
	Promote func(holder string, token uint64, database, member string) int
}

// smallPage lets a few items need several pages; the platform has about 500 items a page.
const smallPage = 5

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), Page: smallPage}
}

// Put writes a value as the operator or a member does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Value: value})
}

// Delete drops a value without notice to its writer.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Tombstone: true})
}

// Value returns what a key holds.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Answer makes the store answer every call with the status; zero lets it work.
func (s *Store) Answer(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
	s.signal()
}

// RefuseWrites makes the store answer changes with an error while it goes on to be read.
func (s *Store) RefuseWrites(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = refuse
}

// LoseAnswers lets changes take effect without an answer.
func (s *Store) LoseAnswers(lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.revision, nil
	s.signal()
}

// Calls returns the number of calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP answers the platform's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.status
	s.mu.Unlock()
	if r.URL.Path == "/promote" {
		s.promote(w, r)
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.URL.Path {
	case "/kv-key":
		s.key(w, r)
	case "/kv-range":
		s.list(w, r)
	case "/kv-watch":
		s.watch(w, r)
	case "/kv-txn":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > s.Page
	write(w, map[string]any{"items": found[:min(s.Page, len(found))], "hasMore": more, "storeRevision": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if s.status != 0 || after < s.oldest {
			status := s.status
			s.mu.Unlock()
			if status == 0 {
				status = http.StatusGone
			}
			w.WriteHeader(status)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			write(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			write(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

// change is a change under conditions.
type change struct {
	Expect []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expect"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	c := change{}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readOnly {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for _, e := range c.Expect {
		if s.items[e.Key].Revision != e.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, k := range c.SetKeys {
		s.set(item{Key: k.Key, Value: k.Value})
	}
	for _, k := range c.Remove {
		s.set(item{Key: k, Tombstone: true})
	}
	if s.lose {
		// The connection ends without an answer.
		panic(http.ErrAbortHandler)
	}
	write(w, map[string]any{"revision": s.revision})
}

func (s *Store) promote(w http.ResponseWriter, r *http.Request) {
	call := struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}{}
	token, err := strconv.ParseUint(r.Header.Get("X-Turmericpulley-Fencing-Token"), 10, 64)
	if json.NewDecoder(r.Body).Decode(&call) != nil || err != nil || s.Promote == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(s.Promote(r.Header.Get("X-Turmericpulley-Lease-Holder"), token, call.Backend, call.ID))
}

func (s *Store) set(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.signal()
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func write(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}
