package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// abandonedBranch crashes the primary while its replicas receive nothing, and the next primary as soon as a member with the log of the
// first one is back. The third member, which has received nothing since the first crash, stays.
func abandonedBranch(b *bed) {
	b.small(1, "a", "b", "c")
	g := b.services["dba"]
	first, others := g.members[0], g.members[1:]
	time.Sleep(6 * time.Second)
	stop := &atomic.Bool{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for n := 0; !stop.Load(); n++ {
			b.writeAndRead(n)
		}
	}()
	time.Sleep(2 * time.Second)
	setDeaf := func(deaf bool, members ...*member) {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, m := range members {
			m.deaf = deaf
			b.record("member", m.id, "receives nothing:", deaf)
		}
	}
	if b.trouble {
		setDeaf(true, others...)
		time.Sleep(3 * time.Second)
		first.crash()
		second := b.awaitPrimary(g, first)
		time.Sleep(4 * time.Second)
		b.awaitReadOfEntries()
		second.goDark()
		first.replace()
		b.awaitPrimary(g, second)
		time.Sleep(3 * time.Second)
		setDeaf(false, others...)
		second.crash()
		second.replace()
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	<-ended
}

// awaitPrimary waits until another member is the primary, and returns it.
func (b *bed) awaitPrimary(g *service, old *member) *member {
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		g.mu.Lock()
		now := g.primary
		g.mu.Unlock()
		if now != old {
			return now
		}
	}
	b.cannotRun("no member was promoted in place of " + old.id)
	return nil
}

// writeAndRead writes an item and reads it, over a session of its own on the route of the primary.
func (b *bed) writeAndRead(n int) {
	c, err := b.dial(b.instances[n%len(b.instances)], b.routes[0])
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer c.close()
	c.ask(fmt.Sprintf("WRITE item%d data%d", n, n))
	if c.state == "I" {
		c.ask(fmt.Sprintf("READ item%d", n))
	}
	time.Sleep(20 * time.Millisecond)
}

// awaitReadOfEntries waits until shortly before the owner reads the members' entries, which it does every two seconds.
func (b *bed) awaitReadOfEntries() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		owner := b.owner("dba")
		if owner == nil {
			continue
		}
		owner.mu.Lock()
		since := time.Since(owner.readEntriesAt)
		owner.mu.Unlock()
		if since > 1700*time.Millisecond && since < 1900*time.Millisecond {
			return
		}
	}
}
