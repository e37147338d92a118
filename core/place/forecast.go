package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// lateWaitFactor extends the forecast wait of late statements where the offered load is not known, because timely statements
	// that arrive meanwhile go first. At a utilisation of two thirds the wait behind them is three times as long.
	lateWaitFactor = 3
	// timelyWaitFactor extends the forecast wait of timely statements, because service times vary. Without it, an overload lets
	// all statements end just after their objective. In the test that offers 2.5 times the capacity, the statements that end in
	// time then make up only a sixth of the capacity.
	timelyWaitFactor = 1.3
)

// shouldRefuse reports whether a statement is better refused now, and returns the expected wait.
//
// In an overload, a statement that would become late because of those that wait is refused with a time to retry after, so that
// admitted statements are served in time. A statement that is late already is kept while it can be served before its deadline.
func (s *Scheduler) shouldRefuse(w *waiter, now clock.Moment) (time.Duration, bool) {
	if w.request.Pinned != "" {
		return 0, false
	}
	wait := s.forecastWait(w, now)
	if wait == 0 {
		return 0, false
	}
	if w.band(now) == bandLate {
		return wait, s.wouldMissDeadline(w, wait, now)
	}
	return wait, w.wouldBeLate(wait, now)
}

// wouldMissDeadline reports whether a late statement would miss its deadline behind the timely statements that wait and those
// that arrive meanwhile.
func (s *Scheduler) wouldMissDeadline(w *waiter, wait time.Duration, now clock.Moment) bool {
	primary := s.activePrimary(now)
	if primary == nil || !s.needsPrimary(w, now) {
		return now.Add(lateWaitFactor*wait) > w.request.Deadline
	}
	factor, hasSlot := s.primaryLoad.waitFactor(primary.slots, now)
	return !hasSlot || now.Add(time.Duration(factor*float64(wait))+w.serviceTime) > w.request.Deadline
}

// forecastWait estimates how long the statement would still wait for a slot.
//
// A read that replicas are expected to serve competes for the slots of all usable members, any other statement for those of the
// primary. The forecast counts the statements in flight at these members, and all statements that wait before this one,
// whichever member they wait for. It is zero when none of these members is usable.
func (s *Scheduler) forecastWait(w *waiter, now clock.Moment) time.Duration {
	slots := 0
	inTime := false
	if w.request.AllowReplicas {
		_, inTime = s.bestReplica(w.request, now)
	}
	var ahead time.Duration
	for _, m := range s.members {
		if m.usable && (inTime || m.target == s.primary) {
			slots += m.slots
			ahead += m.backlog()
		}
	}
	if slots == 0 {
		return 0
	}
	for _, other := range s.waiting {
		if other.before(w, now) {
			ahead += other.serviceTime
		}
	}
	return ahead / time.Duration(slots)
}
