package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// pingInterval is the time between two pings of an owner by a candidate.
	pingInterval = 300 * time.Millisecond
	// pingRetryDelay is the delay after a first ping without an answer. It exceeds the 100 ms within which the transport does
	// not dial an address again.
	pingRetryDelay = 130 * time.Millisecond
	// monitorsPerOwner is the number of candidates that monitor each owner.
	monitorsPerOwner = 3
	// maxMonitorsInOutage is the number of candidates that monitor an owner whom their own callers do not reach. When half of the
	// instances are cut from the other half, one of them is on each side in 99.9 of 100 cases.
	maxMonitorsInOutage = 12
	// pingTimeout bounds the wait for the answer to a ping, which usually takes 3 ms, and 30 ms on a machine that is five times
	// slower.
	pingTimeout = 250 * time.Millisecond
	// monitorIdleLimit is how long an owner is still monitored after the last call of isDead for it.
	monitorIdleLimit = 5 * time.Second
	// maxOwnerWitnesses is the number of instances that are asked whether they reach an unresponsive owner.
	maxOwnerWitnesses = 4
	// witnessTimeout bounds the wait for their answers: a ping of their own, and the way to them and back.
	witnessTimeout = pingTimeout + 100*time.Millisecond
)

// failureDetector monitors the owners that this instance may have to replace. An owner counts as dead when it has not answered
// two pings in a row and no other instance reaches it either.
type failureDetector struct {
	node *Node
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	monitored map[types.InstanceID]*monitoredOwner
}

// monitoredOwner is the state of one monitored owner.
type monitoredOwner struct {
	dead bool
	// incarnation is the newest incarnation of the instance that has answered.
	incarnation fleet.Incarnation
	// lastWanted is when isDead was last called for the owner.
	lastWanted time.Time
	// pinger sends the pings; only monitor uses it.
	pinger pinger
}

func newFailureDetector(n *Node) *failureDetector {
	ctx, stop := context.WithCancel(context.Background())
	return &failureDetector{node: n, ctx: ctx, stop: stop, monitored: map[types.InstanceID]*monitoredOwner{}}
}

func (d *failureDetector) close() { d.stop() }

// isDead reports whether the owner is known to be dead; rank is the rank of this instance among the candidates. Only the first
// monitorsPerOwner candidates monitor the owner. The others know it to be dead only when a newer incarnation of the instance has
// replaced it.
func (d *failureDetector) isDead(owner hold.Owner, rank int) bool {
	n := d.node
	current, known := n.directory.instance(owner.Instance)
	if owner.Instance == n.settings.Self.ID {
		return owner.Incarnation != n.settings.Self.Incarnation
	}
	if known && current.Incarnation > owner.Incarnation {
		return true
	}
	if rank >= monitorsPerOwner {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.monitored[owner.Instance]
	if entry == nil {
		entry = &monitoredOwner{}
		d.monitored[owner.Instance] = entry
		n.goroutines.Go(func() { d.monitor(owner.Instance, entry) })
	}
	entry.lastWanted = time.Now()
	return entry.dead || entry.incarnation > owner.Incarnation
}

// monitor pings the instance as long as isDead is called for it. It sends the first ping at once: after all instances were
// lost, an owner may already be dead when this instance starts.
func (d *failureDetector) monitor(id types.InstanceID, entry *monitoredOwner) {
	defer entry.pinger.close()
	for d.isWanted(id, entry) {
		if d.ping(id, entry) {
			d.setDead(id, entry, false)
		} else {
			if !pause.For(d.ctx, pingRetryDelay) {
				return
			}
			d.setDead(id, entry, d.isUnreachable(id, entry))
		}
		if !pause.For(d.ctx, pingInterval) {
			return
		}
	}
}

// isWanted reports whether isDead was called for the instance within monitorIdleLimit; otherwise it removes the instance.
func (d *failureDetector) isWanted(id types.InstanceID, entry *monitoredOwner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(entry.lastWanted) <= monitorIdleLimit {
		return true
	}
	delete(d.monitored, id)
	return false
}

// isUnreachable reports whether an instance that did not answer a first ping does not answer a second one either and no other
// instance reaches it.
func (d *failureDetector) isUnreachable(id types.InstanceID, entry *monitoredOwner) bool {
	reached := make(chan bool, 1)
	d.node.goroutines.Go(func() { reached <- d.reachedByOthers(id) })
	return !d.ping(id, entry) && !<-reached
}

// ping reports whether the instance answers, and records its incarnation.
func (d *failureDetector) ping(id types.InstanceID, entry *monitoredOwner) bool {
	instance, known := d.node.directory.instance(id)
	if !known {
		return false
	}
	incarnation, alive := entry.pinger.ping(d.ctx, d.node, instance.PeerAddress)
	d.mu.Lock()
	newer := incarnation > entry.incarnation
	entry.incarnation = max(entry.incarnation, incarnation)
	d.mu.Unlock()
	if newer {
		d.node.directory.wake()
	}
	return alive
}

// setDead records whether the owner is dead, and wakes the ownership manager on a change.
func (d *failureDetector) setDead(id types.InstanceID, entry *monitoredOwner, dead bool) {
	d.mu.Lock()
	changed := entry.dead != dead
	entry.dead = dead
	d.mu.Unlock()
	if changed {
		d.node.logger.Info("owner status changed", "owner", id, "dead", dead)
		d.node.directory.wake()
	}
}

// reachedByOthers asks up to maxOwnerWitnesses other instances, other ones each time, whether they reach the instance, and reports
// whether one does.
func (d *failureDetector) reachedByOthers(id types.InstanceID) bool {
	n := d.node
	ctx, cancel := context.WithTimeout(d.ctx, witnessTimeout)
	defer cancel()
	var calls sync.WaitGroup
	answers := make(chan bool, maxOwnerWitnesses)
	count := 0
	all := n.directory.all()
	for _, i := range rand.Perm(len(all)) {
		instance := all[i]
		if instance.ID == n.settings.Self.ID || instance.ID == id || count == maxOwnerWitnesses {
			continue
		}
		count++
		calls.Go(func() {
			reply, err := n.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Reach{Reach: &wire.Reach{Instance: string(id)}}})
			answers <- err == nil && reply.GetReached().GetAlive()
		})
	}
	calls.Wait()
	for range count {
		if <-answers {
			return true
		}
	}
	return false
}
