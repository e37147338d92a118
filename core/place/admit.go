package place

import (
	"slices"
	"time"

	"turmericpulley/core/clock"
)

// admit decides whether a new statement may wait; if not, it returns the expected wait.
//
// It handles members that get more statements than their slots can serve: the primary when all replicas lag, all of them in a burst, or
// when a fleet returns. Refused callers retry, and a statement that is served late after its retries has used a slot for nothing. Among
// the statements that wait for the same members, deferring the longest first makes the fewest late (the Moore-Hodgson algorithm for the
// minimum number of late jobs). A deferred statement waits to be served late if the overload is short, and is refused if timely statements
// take all slots.
//
// Reads of client accounts are refused by their own forecast, in the order that the accounts' shares give: deferring among them would let
// an account that asks for much too much take more from the others.
func (s *Scheduler) admit(w *waiter, now clock.Moment) (time.Duration, bool) {
	s.load.record(w.serviceTime, now)
	if w.request.Pinned != "" {
		return 0, true
	}
	primaryOnly := s.needsPrimary(w, now)
	if primaryOnly {
		s.primaryLoad.record(w.serviceTime, now)
	}
	if w.band(now) != bandTimely || !primaryOnly && w.share != nil {
		wait, refused := s.shouldRefuse(w, now)
		return wait, !refused
	}
	queue := []*waiter{w}
	for _, other := range s.waiting {
		if !primaryOnly || s.needsPrimary(other, now) {
			queue = append(queue, other)
		}
	}
	sortWaiters(queue, now)
	for {
		selected, wait := s.selectDeferral(queue, primaryOnly, now)
		if selected == nil {
			return 0, true
		}
		selected.deferred = true
		lateWait, refused := s.shouldRefuse(selected, now)
		if selected == w {
			return max(wait, lateWait), !refused
		}
		queue = slices.DeleteFunc(queue, func(other *waiter) bool { return other == selected })
		if refused {
			selected.result <- waitResult{refusal: s.errOverload(selected, max(wait, lateWait), now)}
			s.waiting = slices.DeleteFunc(s.waiting, func(other *waiter) bool { return other == selected })
		}
	}
}

// selectDeferral finds the first timely waiter in the queue that would miss its objective. It returns that waiter's expected wait
// and the waiter to defer: of the timely ones up to and including that waiter the least important, among equals the longest. It
// returns nil if none would miss its objective, or if no member takes statements.
func (s *Scheduler) selectDeferral(queue []*waiter, primaryOnly bool, now clock.Moment) (*waiter, time.Duration) {
	slots, ahead := s.capacity(primaryOnly, now)
	if slots == 0 {
		return nil, 0
	}
	var selected *waiter
	for _, w := range queue {
		wait := ahead / time.Duration(slots)
		ahead += w.serviceTime
		if w.band(now) != bandTimely {
			continue
		}
		if selected == nil || w.deferBefore(selected) {
			selected = w
		}
		if w.wouldBeLate(wait, now) {
			return selected, wait
		}
	}
	return nil, 0
}

// needsPrimary reports whether no replica is expected to be able to serve the statement before its objective.
func (s *Scheduler) needsPrimary(w *waiter, now clock.Moment) bool {
	if w.request.Pinned != "" {
		return w.request.Pinned == s.primary
	}
	if !w.request.AllowReplicas {
		return true
	}
	_, inTime := s.bestReplica(w.request, now)
	return !inTime
}

// deferBefore reports whether to defer this statement rather than the other: it is less important, or as important and of an account over
// its share, or else longer.
func (w *waiter) deferBefore(other *waiter) bool {
	if w.request.Priority != other.request.Priority {
		return w.request.Priority > other.request.Priority
	}
	if a, b := w.isOverShare(), other.isOverShare(); a != b {
		return a
	}
	return w.serviceTime > other.serviceTime
}

// capacity returns the slots of the primary or of all usable members, and the service time of what must end there before a slot is free.
func (s *Scheduler) capacity(primaryOnly bool, now clock.Moment) (slots int, ahead time.Duration) {
	if primaryOnly && s.activePrimary(now) == nil {
		return 0, 0
	}
	for _, m := range s.members {
		if m.usable && (!primaryOnly || m.target == s.primary) {
			slots += m.slots
			ahead += m.backlog()
		}
	}
	return slots, ahead
}
