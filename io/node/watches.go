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
	// watchInterval is the time between two signs of life that a candidate asks an owner for.
	watchInterval = 300 * time.Millisecond
	// againInterval follows a first question without an answer; links do not dial again within 100 ms.
	againInterval = 130 * time.Millisecond
	// watchRanks is the number of candidates that watch each owner.
	watchRanks = 3
	// aliveTimeout bounds the wait for a sign of life, which usually takes 3 ms and 30 ms on a machine that is five times
	// slower.
	aliveTimeout = 250 * time.Millisecond
	// unwantedLimit is how long an owner is followed after the last question about it.
	unwantedLimit = 5 * time.Second
	// witnesses is the number of instances that are asked whether they reach an owner that is silent from here.
	witnesses = 4
)

// watches looks after the owners that this instance might have to replace.
type watches struct {
	node *Node
	ctx  context.Context
	stop context.CancelFunc

	mu   sync.Mutex
	held map[types.InstanceID]*watch
}

// watch is one owner that is looked after.
type watch struct {
	dead bool
	// incarnation is the newest with which the instance has answered.
	incarnation fleet.Incarnation
	// wanted is when anyone asked for it last.
	wanted time.Time
	// line carries the questions; only follow uses it.
	line line
}

func newWatches(n *Node) *watches {
	ctx, stop := context.WithCancel(context.Background())
	return &watches{node: n, ctx: ctx, stop: stop, held: map[types.InstanceID]*watch{}}
}

func (w *watches) close() { w.stop() }

// dead reports whether the owner is known to be dead. Candidates of a low rank look after it; the others know only
// that another run of the instance has taken its place.
func (w *watches) dead(owner hold.Holder, rank int) bool {
	n := w.node
	present, known := n.roster.instance(owner.Instance)
	if owner.Instance == n.settings.Self.ID {
		return owner.Incarnation != n.settings.Self.Incarnation
	}
	if known && present.Incarnation > owner.Incarnation {
		return true
	}
	if rank >= watchRanks {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.held[owner.Instance]
	if held == nil {
		held = &watch{}
		w.held[owner.Instance] = held
		n.running.Go(func() { w.follow(owner.Instance, held) })
	}
	held.wanted = time.Now()
	return held.dead || held.incarnation > owner.Incarnation
}

// follow asks the instance for signs of life as long as anyone wants to know. The first question is asked at once: after a
// loss of all instances the owners are gone when the others start.
func (w *watches) follow(id types.InstanceID, held *watch) {
	defer held.line.close()
	for w.wanted(id, held) {
		if w.answers(id, held) {
			w.set(id, held, false)
		} else {
			if !pause.For(w.ctx, againInterval) {
				return
			}
			w.set(id, held, w.silent(id, held))
		}
		if !pause.For(w.ctx, watchInterval) {
			return
		}
	}
}

// wanted reports whether anyone still wants to know of the instance, and ends its watch otherwise.
func (w *watches) wanted(id types.InstanceID, held *watch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(held.wanted) <= unwantedLimit {
		return true
	}
	delete(w.held, id)
	return false
}

// silent asks an instance that gave no answer a second time, and others whether they reach it.
func (w *watches) silent(id types.InstanceID, held *watch) bool {
	witnessed := make(chan bool, 1)
	w.node.running.Go(func() { witnessed <- w.witnessed(id) })
	return !w.answers(id, held) && !<-witnessed
}

// answers reports whether the instance answers, and notes which run of it does.
func (w *watches) answers(id types.InstanceID, held *watch) bool {
	instance, known := w.node.roster.instance(id)
	if !known {
		return false
	}
	incarnation, alive := held.line.alive(w.ctx, w.node, instance.PeerAddress)
	w.mu.Lock()
	newer := incarnation > held.incarnation
	held.incarnation = max(held.incarnation, incarnation)
	w.mu.Unlock()
	if newer {
		w.node.roster.wake()
	}
	return alive
}

func (w *watches) set(id types.InstanceID, held *watch, dead bool) {
	w.mu.Lock()
	changed := held.dead != dead
	held.dead = dead
	w.mu.Unlock()
	if changed {
		w.node.logger.Info("owner seen", "owner", id, "dead", dead)
		w.node.roster.wake()
	}
}

// witnessed reports whether another instance reaches the one that is silent from here.
func (w *watches) witnessed(id types.InstanceID) bool {
	n := w.node
	var asked sync.WaitGroup
	answers := make(chan bool, witnesses)
	count := 0
	for _, i := range n.roster.all() {
		if i.ID == n.settings.Self.ID || i.ID == id || count == witnesses {
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
