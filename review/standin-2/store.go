package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value of the store.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
}

// event is a change as a watch returns it.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store, and for the service that promotes members.
type store struct {
	bed *bed

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event
	changed  chan struct{}
	// down makes the store refuse calls, slow delays its answers.
	down bool
	slow time.Duration
}

// answerTime is the time in which the store answers.
const answerTime = 4 * time.Millisecond

func newStore(b *bed) *store {
	return &store{bed: b, revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value as the operator or a member does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

// drop removes a value.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	s.remove(key)
}

// set stores a value at the present revision; the lock is held.
func (s *store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.CreateRevision
	}
	s.items[key] = item{key, value, s.revision, created, lease}
	s.events = append(s.events, event{Key: key, Value: value, Revision: s.revision})
	s.notify()
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.events = append(s.events, event{Key: key, Revision: s.revision, Tombstone: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns the value under a key.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// listen serves the store on a free loopback address and returns the address.
func (s *store) listen(handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.bed.must(err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers a call to the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	down, slow := s.down, s.slow
	s.mu.Unlock()
	if down {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	time.Sleep(answerTime/2 + slow/2)
	defer time.Sleep(answerTime / 2)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.mu.Lock()
		i, found := s.items[q.Get("key")]
		revision := s.revision
		s.mu.Unlock()
		if !found {
			reply(w, http.StatusNotFound, map[string]any{"storeRevision": revision})
			return
		}
		reply(w, http.StatusOK, map[string]any{
			"key": i.Key, "value": i.Value, "revision": i.Revision, "createRevision": i.CreateRevision, "lease": i.Lease, "storeRevision": revision,
		})
	case "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/kv-txn":
		s.serveTransaction(w, body)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		found := []event{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": found, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, body []byte) {
	t := struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}{}
	if json.Unmarshal(body, &t) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	states, holds := []item{}, true
	for _, e := range t.Expect {
		i, found := s.items[e.Key]
		if found {
			states = append(states, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": states})
		return
	}
	s.revision++
	for _, e := range t.SetKeys {
		s.set(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		if _, found := s.items[key]; found {
			s.remove(key)
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// promoter is a stand-in for the service that promotes members.
type promoter struct {
	bed *bed

	mu sync.Mutex
	// tokens are the highest fencing tokens by service.
	tokens map[string]uint64
}

// ServeHTTP answers a promotion.
func (p *promoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}{}
	if r.URL.Path != "/promote" || json.NewDecoder(r.Body).Decode(&call) != nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	holder := r.Header.Get("X-Turmericpulley-Lease-Holder")
	token, _ := strconv.ParseUint(r.Header.Get("X-Turmericpulley-Fencing-Token"), 10, 64)
	p.mu.Lock()
	lower := token < p.tokens[call.Backend]
	p.tokens[call.Backend] = max(token, p.tokens[call.Backend])
	p.mu.Unlock()
	if lower {
		p.bed.broken("ONE", "a promotion of "+call.Backend+" by "+holder+" came with a lower fencing token than an earlier one")
	}
	g := p.bed.services[call.Backend]
	status := http.StatusConflict
	if g != nil && g.promote(call.ID) {
		status = http.StatusOK
	}
	p.bed.record("promote", call.Backend, call.ID, "by", holder, "token", token, "status", status)
	reply(w, status, map[string]any{})
}
