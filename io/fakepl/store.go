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

// item is a key of the store or its deletion, in the platform's format.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store serves the platform's store over HTTP and injects the faults that tests set.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	items             map[string]item
	history           []item
	compactedRevision uint64
	changed           chan struct{}
	forcedStatus      int
	readOnly          bool
	loseResponses     bool
	withholdResponses bool
	calls             int
	// era is sent with each response; it counts the restorations.
	era uint64
	// PageSize is the largest number of items in the response to a range request.
	PageSize int
	// Promote handles each promote request, with the lease holder, the fencing token, the database and the member. It
	// returns the HTTP status of the response.
	Promote func(holder string, token uint64, database, member string) int
}

// defaultPageSize is small, so that a few items need several pages. The platform returns about 500 items a page.
const defaultPageSize = 5

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, era: 1, items: map[string]item{}, changed: make(chan struct{}), PageSize: defaultPageSize}
}

// Put writes a value without conditions, as the operator or a member does.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Value: value})
}

// Delete removes a key. The instance that wrote it is not informed.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(item{Key: key, Tombstone: true})
}

// Value returns the value of a key, or nil if the key does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Values returns the values by key of all keys with the prefix.
func (s *Store) Values(prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := map[string][]byte{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			values[key] = i.Value
		}
	}
	return values
}

// Calls returns the number of requests received since the start.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP handles the requests that instances send to the platform.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	status := s.forcedStatus
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if r.URL.Path == "/promote" {
		s.servePromote(w, r)
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, r)
	case "/kv-range":
		s.serveRange(w, r)
	case "/kv-watch":
		s.serveWatch(w, r)
	case "/kv-txn":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveKey responds with one key.
func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

// serveRange responds with one page of the keys under a prefix, in the order of the keys.
func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
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
	more := len(found) > s.PageSize
	writeJSON(w, map[string]any{"items": found[:min(s.PageSize, len(found))], "hasMore": more, "storeRevision": s.revision})
}

// serveWatch responds with the changes under a prefix after a revision. It waits until there is one or waitMs has
// passed.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if s.forcedStatus != 0 || after < s.compactedRevision || after > s.revision {
			status := s.forcedStatus
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
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

// transactionRequest sets and removes keys if all keys in Expect have the expected revisions.
type transactionRequest struct {
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

// serveTransaction applies the changes of a transactionRequest, or none of them with status 412.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	c := transactionRequest{}
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
	if s.loseResponses {
		// The connection is closed without a response.
		panic(http.ErrAbortHandler)
	}
	if s.withholdResponses {
		s.mu.Unlock()
		<-r.Context().Done()
		s.mu.Lock()
		return
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

// servePromote passes a promote request to the function Promote.
func (s *Store) servePromote(w http.ResponseWriter, r *http.Request) {
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

// set stores an item or its deletion under the next revision; the caller holds the lock.
func (s *Store) set(i item) {
	s.revision++
	i.Revision = s.revision
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
}

// wake makes every waiting watch check for changes again; the caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected and needs no response.
	_ = json.NewEncoder(w).Encode(value)
}
