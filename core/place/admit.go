package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// admit decides whether a new ticket may wait; if not it returns the expected wait.
//
// It answers a primary that gets more work than its slots can serve, as when all replicas lag: callers that are refused ask
// again, and what is then served late has cost slots for nothing. Among the work that waits for the primary the fewest
// callers are turned away by giving up the longest work first (Moore and Hodgson's rule for the least number of late jobs). What
// is given up waits to be served late when the overload is short, and is refused when timely work takes all slots.
func (d *Scheduler) admit(t *waiter, now clock.Moment) (time.Duration, bool) {
	if t.request.Pinned != "" {
		return 0, true
	}
	alone := d.needsPrimary(t, now)
	if alone {
		d.primaryLoad.record(t.serviceTime, now)
	}
	if t.band(now) != bandTimely || !alone {
		wait, hopeless := d.shouldRefuse(t, now)
		return wait, !hopeless
	}
	queue := []*waiter{t}
	for _, o := range d.waiting {
		if d.needsPrimary(o, now) {
			queue = append(queue, o)
		}
	}
	sortWaiters(queue, now)
	for {
		victim, wait := d.selectDeferral(queue, now)
		if victim == nil {
			return 0, true
		}
		victim.deferred = true
		late, hopeless := d.shouldRefuse(victim, now)
		if victim == t {
			return max(wait, late), !hopeless
		}
		queue = slices.DeleteFunc(queue, func(o *waiter) bool { return o == victim })
		if hopeless {
			victim.result <- waitResult{refusal: errOverload(max(wait, late))}
			d.waiting = slices.DeleteFunc(d.waiting, func(o *waiter) bool { return o == victim })
		}
	}
}

// selectDeferral returns the ticket to give up, and its expected wait, when a ticket of the queue would miss its objective: the
// least important and longest of those up to it.
func (d *Scheduler) selectDeferral(queue []*waiter, now clock.Moment) (*waiter, time.Duration) {
	primary := d.activePrimary()
	if primary == nil || !primary.usable {
		return nil, 0
	}
	ahead := primary.backlog()
	var victim *waiter
	for _, t := range queue {
		wait := ahead / time.Duration(primary.slots)
		ahead += t.serviceTime
		if t.band(now) != bandTimely {
			continue
		}
		if victim == nil || t.deferBefore(victim) {
			victim = t
		}
		if t.wouldBeLate(wait, now) {
			return victim, wait
		}
	}
	return nil, 0
}

// needsPrimary reports whether only the primary is going to serve the ticket before its objective.
func (d *Scheduler) needsPrimary(t *waiter, now clock.Moment) bool {
	if t.request.Pinned != "" {
		return t.request.Pinned == d.primary
	}
	if !t.request.AllowReplicas {
		return true
	}
	_, soon := d.bestReplica(t.request, now)
	return !soon
}

// deferBefore reports whether giving up this ticket helps more of the others: it is less important, or takes longer.
func (t *waiter) deferBefore(o *waiter) bool {
	if t.request.Priority != o.request.Priority {
		return t.request.Priority > o.request.Priority
	}
	return t.serviceTime > o.serviceTime
}
