package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
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

// openTransactions is the number of transactions that are open when the owner is asked to stop.
const openTransactions = 10

// playOpenTransaction: an instance is asked to stop while its clients have transactions open, and the primary is about to be replaced.
// Clients end their transactions within the first half of the grace period. No commit may be acknowledged that the old primary made
// after the new one has taken over.
func playOpenTransaction(w *world) (bool, error) {
	owner := w.owner()
	if owner == nil {
		return false, errors.New("no owner")
	}
	w.rec.note("%s owns the database", owner.name)
	acknowledged := &acks{ids: map[string]bool{}}
	stopAt := time.Now().Add(700 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range openTransactions {
		c, err := dial(w.rec, fmt.Sprintf("c%d", i), owner.frontend, "orders")
		if err != nil {
			return false, err
		}
		defer c.close()
		clients.Go(func() { runTransaction(c, i, stopAt, acknowledged) })
	}
	time.Sleep(time.Until(stopAt))
	if w.trouble {
		w.svc.members[0].drain()
	}
	w.rec.note("SIGTERM to %s", owner.name)
	if err := owner.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	clients.Wait()
	time.Sleep(time.Second)
	return w.acknowledgedStray(acknowledged), nil
}

// acknowledgedStray reports whether a commit that a former primary made after another member had taken over was acknowledged.
func (w *world) acknowledgedStray(a *acks) bool {
	w.svc.mu.Lock()
	defer w.svc.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	broken := 0
	for _, stray := range w.svc.stray {
		for _, id := range stray.ids {
			if a.ids[id] {
				w.rec.note("write %s, committed at the old primary %s %s after another took over, was acknowledged", id, stray.member, stray.after.Round(time.Millisecond))
				broken++
			}
		}
	}
	return broken > 0
}

// playUnlistedPrimary: the primary is cut off from the store for seven seconds, so that its entry is removed; it reaches everybody
// else. Clients run transactions with pauses all the while. No commit may be acknowledged that the old primary made after another
// member has taken over.
func playUnlistedPrimary(w *world) (bool, error) {
	acknowledged := &acks{ids: map[string]bool{}}
	stop := time.Now().Add(20 * time.Second)
	var clients sync.WaitGroup
	for i := range 8 {
		c, err := dial(w.rec, fmt.Sprintf("c%d", i), w.nodes[i%len(w.nodes)].frontend, "orders")
		if err != nil {
			return false, err
		}
		defer c.close()
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 300 * time.Millisecond)
			for n := 0; time.Now().Before(stop); n++ {
				transact(c, fmt.Sprintf("t%d-%d", i, n), acknowledged)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.awaitBeat(w.svc.members[0])
		w.svc.members[0].cutFromStore(7 * time.Second)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return w.acknowledgedStray(acknowledged), nil
}

// entriesPeriod is the time between two reads of the members' entries by the owner.
const entriesPeriod = 2 * time.Second

// awaitBeat waits until the member is about to write its entry, at a beat from which the entry, if this and the next two beats fail, is
// removed shortly before the owner reads the entries. Elsewhere this is left to chance: the two periods shift against each other.
func (w *world) awaitBeat(m *member) {
	for {
		w.svc.mu.Lock()
		next := m.beatAt.Add(heartbeat)
		w.svc.mu.Unlock()
		w.store.mu.Lock()
		removed := next.Add(2 * heartbeat)
		read := w.store.entriesReadAt
		w.store.mu.Unlock()
		for read.Before(removed) {
			read = read.Add(entriesPeriod)
		}
		time.Sleep(time.Until(next) - 40*time.Millisecond)
		if gap := read.Sub(removed); gap > 50*time.Millisecond && gap < 500*time.Millisecond {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// transact runs a transaction of nine writes with pauses of 250 ms, and rolls it back when a statement fails.
func transact(c *client, name string, acknowledged *acks) {
	if a, err := c.query(name+".begin", "BEGIN"); err != nil || a.code != "" {
		time.Sleep(250 * time.Millisecond)
		return
	}
	var ids []string
	for n := range 9 {
		id := fmt.Sprintf("%s.w%d", name, n)
		if a, err := c.query(id, fmt.Sprintf("WRITE %s v%d", name, n)); err != nil || a.code != "" {
			_, _ = c.query(name+".rollback", "ROLLBACK")
			time.Sleep(250 * time.Millisecond)
			return
		}
		ids = append(ids, id)
		time.Sleep(250 * time.Millisecond)
	}
	if a, err := c.query(name+".commit", "COMMIT"); err == nil && a.code == "" {
		acknowledged.add(ids...)
	}
}

// runTransaction runs a transaction of a few writes with pauses. It begins before stopAt and commits between 1.03 and 1.17 s after it.
func runTransaction(c *client, i int, stopAt time.Time, acknowledged *acks) {
	if a, err := c.query(fmt.Sprintf("t%d.begin", i), "BEGIN"); err != nil || a.code != "" {
		return
	}
	commitAt := stopAt.Add(1030*time.Millisecond + time.Duration(i)*15*time.Millisecond)
	var ids []string
	for n := 0; n < 10 && time.Until(commitAt) > 250*time.Millisecond; n++ {
		id := fmt.Sprintf("t%d.w%d", i, n)
		if a, err := c.query(id, fmt.Sprintf("WRITE t%d v%d", i, n)); err != nil || a.code != "" {
			return
		}
		ids = append(ids, id)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(commitAt))
	if a, err := c.query(fmt.Sprintf("t%d.commit", i), "COMMIT"); err == nil && a.code == "" {
		acknowledged.add(ids...)
	}
}

// playSplitStatement: an instance is asked to stop while clients have transactions open. Each client sends one statement whose line
// arrives in two pieces, 120 ms apart; the data that it writes reads like a statement from the second piece on. No member may run a
// statement whose id no client has sent.
func playSplitStatement(w *world) (bool, error) {
	owner := w.owner()
	var at *node
	for _, n := range w.nodes {
		if n != owner {
			at = n
		}
	}
	if owner == nil || at == nil {
		return false, errors.New("no owner")
	}
	w.svc.mu.Lock()
	w.svc.ran = nil
	w.svc.mu.Unlock()
	sent := &acks{ids: map[string]bool{}}
	termAt := time.Now().Add(500 * time.Millisecond)
	var clients sync.WaitGroup
	for i := range 3 {
		c, err := dial(w.rec, fmt.Sprintf("c%d", i), at.frontend, "orders")
		if err != nil {
			return false, err
		}
		defer c.close()
		clients.Go(func() {
			c.splitStatement(fmt.Sprintf("t%d", i), termAt.Add(1900*time.Millisecond+time.Duration(i)*150*time.Millisecond), sent)
		})
	}
	time.Sleep(time.Until(termAt))
	if w.trouble {
		w.rec.note("SIGTERM to %s", at.name)
		if err := at.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	clients.Wait()
	w.svc.mu.Lock()
	defer w.svc.mu.Unlock()
	forged := 0
	for _, id := range w.svc.ran {
		if !sent.ids[id] {
			w.rec.note("a member ran %s, which no client has sent", id)
			forged++
		}
	}
	return forged > 0, nil
}

// splitStatement begins a transaction, sends a statement in two pieces at the given time, and commits.
func (c *client) splitStatement(name string, at time.Time, sent *acks) {
	sent.add(name+".begin", name+".w0", name+".w1", name+".commit")
	if a, err := c.query(name+".begin", "BEGIN"); err != nil || a.code != "" {
		return
	}
	if a, err := c.query(name+".w0", "WRITE "+name+" v0"); err != nil || a.code != "" {
		return
	}
	time.Sleep(time.Until(at))
	first, second := "QUERY "+name+".w1 WRITE "+name+" ", "QUERY forged."+name+" WRITE "+name+" forged\r\n"
	c.rec.note("client %s sends %q and, 120 ms later, %q", c.name, first, second)
	_ = c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = c.conn.Write([]byte(first))
	time.Sleep(120 * time.Millisecond)
	_, _ = c.conn.Write([]byte(second))
	a, err := c.receive()
	c.rec.note("client %s gets for %s.w1: %+v %v", c.name, name, a, err)
	_, _ = c.query(name+".commit", "COMMIT")
}
