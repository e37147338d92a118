package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// kvItem is a key of the store, or an event of a watch.
type kvItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision,omitempty"`
	Lease          uint64 `json:"lease"`
	Tombstone      bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]kvItem
	history  []kvItem
	changed  chan struct{}
	// entriesReadAt is when the members' entries were last read.
	entriesReadAt time.Time
}

func newStore() *store {
	return &store{revision: 1000, items: map[string]kvItem{}, changed: make(chan struct{})}
}

// put writes a value without a condition, as the operator and the members do.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kvItem{Key: key, Value: text})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; found {
		s.set(kvItem{Key: key, Tombstone: true})
	}
}

// set stores an item or its deletion under the next revision; the caller holds the lock.
func (s *store) set(i kvItem) {
	s.revision++
	i.Revision, i.CreateRevision = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.CreateRevision = old.CreateRevision
	}
	if i.Tombstone {
		i.CreateRevision = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
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

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		kvItem
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.revision})
}

// pageItems is the largest number of items in one answer.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	if prefix == "servers/" {
		s.entriesReadAt = time.Now()
	}
	found := []kvItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	page := found[:min(pageItems, len(found))]
	writeJSON(w, http.StatusOK, map[string]any{"items": page, "hasMore": len(page) < len(found), "storeRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		answer := map[string]any{"events": events, "storeRevision": revision}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			writeJSON(w, http.StatusOK, answer)
			return
		}
	}
}

// transaction is the body of /kv-txn.
type transaction struct {
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

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	t := transaction{}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, holds := []kvItem{}, true
	for _, e := range t.Expect {
		i, found := s.items[e.Key]
		if found {
			present = append(present, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": present, "storeRevision": s.revision})
		return
	}
	for _, k := range t.SetKeys {
		if strings.HasPrefix(k.Key, "op/") || strings.HasPrefix(k.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.set(kvItem{Key: k.Key, Value: k.Value})
	}
	for _, k := range t.Remove {
		s.set(kvItem{Key: k, Tombstone: true})
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
