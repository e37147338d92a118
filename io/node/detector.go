package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"turmericpulley/core/fleet"

	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/reach"
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

// failureDetector monitors the owners that this instance may have to replace. Package reach decides from two pings in a row without an
// answer, and from what other instances say, whether an owner counts as dead.
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
	// revision is the newest one of a record that names the instance as the owner, and provedAt when that record was first seen.
	revision types.Revision
	provedAt time.Time
	// death decides whether the instance counts as dead; only monitor uses it.
	death reach.Death
	// pinger sends the pings; only monitor uses it.
	pinger pinger
}

// errUnknownInstance means that the instance is not listed.
var errUnknownInstance = errors.New("the instance is not listed")

func newFailureDetector(n *Node) *failureDetector {
	ctx, stop := context.WithCancel(context.Background())
	return &failureDetector{node: n, ctx: ctx, stop: stop, monitored: map[types.InstanceID]*monitoredOwner{}}
}

func (d *failureDetector) close() { d.stop() }

// isDead reports whether the owner is known to be dead. rank is the rank of this instance among the candidates, and revision the one of
// the record that names the owner, which proves that it lived then; zero proves nothing. Only the first monitorsPerOwner candidates
// monitor the owner. The others know it to be dead only when a newer incarnation of the instance has replaced it.
func (d *failureDetector) isDead(owner hold.Owner, revision types.Revision, rank int) bool {
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
	if revision > entry.revision {
		entry.revision, entry.provedAt = revision, entry.lastWanted
	}
	return entry.dead || entry.incarnation > owner.Incarnation
}

// monitor pings the instance as long as isDead is called for it. It sends the first ping at once: after all instances were
// lost, an owner may already be dead when this instance starts.
func (d *failureDetector) monitor(id types.InstanceID, entry *monitoredOwner) {
	defer entry.pinger.close()
	for d.isWanted(id, entry) {
		if d.ping(id, entry) == nil {
			d.setDead(id, entry, entry.death.RecordAnswer(), reach.Check{Answered: true})
		} else {
			if !pause.For(d.ctx, pingRetryDelay) {
				return
			}
			check := d.check(id, entry)
			d.setDead(id, entry, entry.death.RecordCheck(check, d.sinceProof(entry)), check)
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

// check pings an instance that did not answer a first ping a second time, and asks others whether they reach it.
func (d *failureDetector) check(id types.InstanceID, entry *monitoredOwner) reach.Check {
	asked := make(chan reach.Check, 1)
	d.node.goroutines.Go(func() { asked <- d.askOthers(id) })
	err := d.ping(id, entry)
	check := <-asked
	check.Answered, check.Refused = err == nil, errors.Is(err, syscall.ECONNREFUSED)
	return check
}

// sinceProof returns the time since a new record that names the instance as the owner was first seen.
func (d *failureDetector) sinceProof(entry *monitoredOwner) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(entry.provedAt)
}

// ping returns why the instance does not answer, nil when it does, and records its incarnation.
func (d *failureDetector) ping(id types.InstanceID, entry *monitoredOwner) error {
	instance, known := d.node.directory.instance(id)
	if !known {
		return errUnknownInstance
	}
	incarnation, err := entry.pinger.ping(d.ctx, d.node, instance.PeerAddress)
	d.mu.Lock()
	newer := incarnation > entry.incarnation
	entry.incarnation = max(entry.incarnation, incarnation)
	d.mu.Unlock()
	if newer {
		d.node.directory.unsettle()
	}
	return err
}

// setDead records whether the owner is dead, and wakes the ownership manager on a change.
func (d *failureDetector) setDead(id types.InstanceID, entry *monitoredOwner, dead bool, check reach.Check) {
	d.mu.Lock()
	changed := entry.dead != dead
	entry.dead = dead
	d.mu.Unlock()
	if changed {
		d.node.logger.Info("owner status changed", "owner", id, "dead", dead, "asked", check.Asked, "reached", check.Reached,
			"notReached", check.NotReached, "refused", check.Refused)
		d.node.directory.unsettle()
	}
}

// askOthers asks up to maxOwnerWitnesses other instances, other ones each time, whether they reach the instance, and counts their answers.
// It does not wait for the rest when one does.
func (d *failureDetector) askOthers(id types.InstanceID) reach.Check {
	n := d.node
	ctx, cancel := context.WithTimeout(d.ctx, witnessTimeout)
	defer cancel()
	answers := make(chan reach.Check, maxOwnerWitnesses)
	check := reach.Check{}
	all := n.directory.all()
	for _, i := range rand.Perm(len(all)) {
		instance := all[i]
		if instance.ID == n.settings.Self.ID || instance.ID == id || check.Asked == maxOwnerWitnesses {
			continue
		}
		check.Asked++
		n.goroutines.Go(func() {
			reply, err := n.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Reach{Reach: &wire.Reach{Instance: string(id)}}})
			switch reached := reply.GetReached(); {
			case err != nil || reached == nil:
				answers <- reach.Check{}
			case reached.GetAlive():
				answers <- reach.Check{Reached: 1}
			default:
				answers <- reach.Check{NotReached: 1}
			}
		})
	}
	for range check.Asked {
		answer := <-answers
		check.Reached += answer.Reached
		check.NotReached += answer.NotReached
		if check.Reached > 0 {
			break
		}
	}
	return check
}
