package node

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// pingInterval is the time between two signs of life that a candidate asks an owner for.
	pingInterval = 300 * time.Millisecond
	// pingRetryDelay follows a first question without an answer; links do not dial again within 100 ms.
	pingRetryDelay = 130 * time.Millisecond
	// monitorsPerOwner is the number of candidates that watch each owner.
	monitorsPerOwner = 3
	// pingTimeout bounds the wait for a sign of life, which usually takes 3 ms and 30 ms on a machine that is five times
	// slower.
	pingTimeout = 250 * time.Millisecond
	// monitorIdleLimit is how long an owner is followed after the last question about it.
	monitorIdleLimit = 5 * time.Second
	// maxWitnesses is the number of instances that are asked whether they reach an owner that is silent from here.
	maxWitnesses = 4
)

// failureDetector looks after the owners that this instance might have to replace.
type failureDetector struct {
	node *Node
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	monitored map[types.InstanceID]*monitoredOwner
}

// monitoredOwner is one owner that is looked after.
type monitoredOwner struct {
	dead bool
	// incarnation is the newest with which the instance has answered.
	incarnation fleet.Incarnation
	// lastWanted is when anyone asked for it last.
	lastWanted time.Time
	// pinger carries the questions; only follow uses it.
	pinger pinger
}

func newFailureDetector(n *Node) *failureDetector {
	ctx, stop := context.WithCancel(context.Background())
	return &failureDetector{node: n, ctx: ctx, stop: stop, monitored: map[types.InstanceID]*monitoredOwner{}}
}

func (w *failureDetector) close() { w.stop() }

// isDead reports whether the owner is known to be dead. Candidates of a low rank look after it; the others know only
// that another run of the instance has taken its place.
func (w *failureDetector) isDead(owner hold.Owner, rank int) bool {
	n := w.node
	present, known := n.directory.instance(owner.Instance)
	if owner.Instance == n.settings.Self.ID {
		return owner.Incarnation != n.settings.Self.Incarnation
	}
	if known && present.Incarnation > owner.Incarnation {
		return true
	}
	if rank >= monitorsPerOwner {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.monitored[owner.Instance]
	if held == nil {
		held = &monitoredOwner{}
		w.monitored[owner.Instance] = held
		n.goroutines.Go(func() { w.monitor(owner.Instance, held) })
	}
	held.lastWanted = time.Now()
	return held.dead || held.incarnation > owner.Incarnation
}

// monitor asks the instance for signs of life as long as anyone wants to know. The first question is asked at once: after a
// loss of all instances the owners are gone when the others start.
func (w *failureDetector) monitor(id types.InstanceID, held *monitoredOwner) {
	defer held.pinger.close()
	for w.isWanted(id, held) {
		if w.ping(id, held) {
			w.setDead(id, held, false)
		} else {
			if !pause.For(w.ctx, pingRetryDelay) {
				return
			}
			w.setDead(id, held, w.isUnreachable(id, held))
		}
		if !pause.For(w.ctx, pingInterval) {
			return
		}
	}
}

// isWanted reports whether anyone still wants to know of the instance, and ends its watch otherwise.
func (w *failureDetector) isWanted(id types.InstanceID, held *monitoredOwner) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(held.lastWanted) <= monitorIdleLimit {
		return true
	}
	delete(w.monitored, id)
	return false
}

// isUnreachable asks an instance that gave no answer a second time, and others whether they reach it.
func (w *failureDetector) isUnreachable(id types.InstanceID, held *monitoredOwner) bool {
	witnessed := make(chan bool, 1)
	w.node.goroutines.Go(func() { witnessed <- w.reachedByOthers(id) })
	return !w.ping(id, held) && !<-witnessed
}

// ping reports whether the instance answers, and notes which run of it does.
func (w *failureDetector) ping(id types.InstanceID, held *monitoredOwner) bool {
	instance, known := w.node.directory.instance(id)
	if !known {
		return false
	}
	incarnation, alive := held.pinger.ping(w.ctx, w.node, instance.PeerAddress)
	w.mu.Lock()
	newer := incarnation > held.incarnation
	held.incarnation = max(held.incarnation, incarnation)
	w.mu.Unlock()
	if newer {
		w.node.directory.wake()
	}
	return alive
}

func (w *failureDetector) setDead(id types.InstanceID, held *monitoredOwner, dead bool) {
	w.mu.Lock()
	changed := held.dead != dead
	held.dead = dead
	w.mu.Unlock()
	if changed {
		w.node.logger.Info("owner seen", "owner", id, "dead", dead)
		w.node.directory.wake()
	}
}

// reachedByOthers reports whether another instance reaches the one that is silent from here.
func (w *failureDetector) reachedByOthers(id types.InstanceID) bool {
	n := w.node
	var asked sync.WaitGroup
	answers := make(chan bool, maxWitnesses)
	count := 0
	for _, i := range n.directory.all() {
		if i.ID == n.settings.Self.ID || i.ID == id || count == maxWitnesses {
			continue
		}
		count++
		asked.Go(func() {
			reply, err := n.call(w.ctx, i.PeerAddress, &wire.Call{Kind: &wire.Call_Reach{Reach: &wire.Reach{Instance: string(id)}}})
			answers <- err == nil && reply.GetReached().GetAlive()
		})
	}
	asked.Wait()
	for range count {
		if <-answers {
			return true
		}
	}
	return false
}
