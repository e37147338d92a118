package main

import (
	"fmt"
	"sync"
	"time"
)

// acks are the statements whose commit was acknowledged to a client.
type acks struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *acks) add(ids ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		a.ids[id] = true
	}
}

// playLeavingReplica: with syncReplicas 1, a replica is about to be replaced. The other replica receives nothing for six seconds, and
// the primary crashes meanwhile. Each commit that was acknowledged has to be in the log of the member that is promoted.
func playLeavingReplica(w *world) (bool, error) {
	primary, leaving, deaf := w.svc.members[0], w.svc.members[1], w.svc.members[2]
	acknowledged := &acks{ids: map[string]bool{}}
	c, err := dial(w.rec, "c1", w.nodes[0].frontend, "orders")
	if err != nil {
		return false, err
	}
	defer c.close()
	write := func(n int) {
		id := fmt.Sprintf("w%d", n)
		if a, err := c.query(id, fmt.Sprintf("WRITE item%d v%d", n, n)); err == nil && a.code == "" {
			acknowledged.add(id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	leaving.drain()
	for n := range 10 {
		write(n)
	}
	if w.trouble {
		deaf.deafen(6 * time.Second)
	}
	for n := range 15 {
		write(10 + n)
	}
	if !w.trouble {
		return w.lacksAcknowledged(acknowledged), nil
	}
	primary.crash()
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		w.svc.mu.Lock()
		promoted := w.svc.leader != primary
		w.svc.mu.Unlock()
		if promoted {
			return w.lacksAcknowledged(acknowledged), nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.rec.note("no member was promoted in 20 s")
	return false, nil
}

// lacksAcknowledged reports whether the leader's log lacks an acknowledged commit.
func (w *world) lacksAcknowledged(a *acks) bool {
	w.svc.mu.Lock()
	defer w.svc.mu.Unlock()
	held := map[string]bool{}
	for _, e := range w.svc.leader.log {
		for _, id := range e.ids {
			held[id] = true
		}
	}
	for _, m := range w.svc.members {
		w.rec.note("the log of %s ends at %s, draining %t, down %t", m.id, m.end(), m.draining, m.down)
	}
	lost := 0
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.ids {
		if !held[id] {
			w.rec.note("acknowledged write %s is not in the log of %s", id, w.svc.leader.id)
			lost++
		}
	}
	w.rec.note("%d writes acknowledged, %d of them not in the log of the primary %s", len(a.ids), lost, w.svc.leader.id)
	return lost > 0
}
