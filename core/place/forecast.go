package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// lateWaitFactor stretches the forecast of work that is late where the demand is not known: timely work that arrives
	// meanwhile goes first. Under a load of two thirds the wait behind it is three times as long.
	lateWaitFactor = 3
	// timelyWaitFactor stretches the forecast of timely work, whose durations vary. Without it all work of an overload is
	// served just after its objective: the test with 2.5 times the capacity then ends a sixth of it in time.
	timelyWaitFactor = 1.3
)

// shouldRefuse reports whether a ticket is better refused now, with the expected wait. It answers overload: work that would
// be late because of those that wait is told to come back, so that what is admitted is served in time; work that is
// late already is served as long as it can be before its deadline.
func (d *Scheduler) shouldRefuse(t *waiter, now clock.Moment) (time.Duration, bool) {
	if t.request.Pinned != "" {
		return 0, false
	}
	wait := d.forecastWait(t, now)
	if wait == 0 {
		return 0, false
	}
	if t.band(now) == bandLate {
		return wait, d.wouldMissDeadline(t, wait, now)
	}
	return wait, t.wouldBeLate(wait, now)
}

// wouldMissDeadline reports whether late work would miss its deadline behind the timely work that waits and that arrives meanwhile.
func (d *Scheduler) wouldMissDeadline(t *waiter, wait time.Duration, now clock.Moment) bool {
	primary := d.activePrimary()
	if primary == nil || !d.needsPrimary(t, now) {
		return now.Add(lateWaitFactor*wait) > t.request.Deadline
	}
	stretch, room := d.primaryLoad.waitFactor(primary.slots, now)
	return !room || now.Add(time.Duration(stretch*float64(wait))+t.serviceTime) > t.request.Deadline
}

// forecastWait estimates how long a new ticket would wait for its first slot.
//
// It counts the work that waits ahead of it and competes for the same members. A read that replicas are going to serve
// competes with all waiting work for all slots; anything else competes for the primary's.
func (d *Scheduler) forecastWait(t *waiter, now clock.Moment) time.Duration {
	slots := 0
	soon := false
	if t.request.AllowReplicas {
		_, soon = d.bestReplica(t.request, now)
	}
	var ahead time.Duration
	for _, s := range d.members {
		if s.usable && (soon || s.target == d.primary) {
			slots += s.slots
			ahead += s.backlog()
		}
	}
	if slots == 0 {
		return 0
	}
	for _, o := range d.waiting {
		if o.before(t, now) {
			ahead += o.serviceTime
		}
	}
	return ahead / time.Duration(slots)
}
