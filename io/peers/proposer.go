package peers

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

const (
	// pendingEvents is the number of events that may wait for the proposer.
	pendingEvents = 256
	// batchWindow is how long a join or leave waits for others to be written with.
	batchWindow = 100 * time.Millisecond
	// proposalLifetime is how long a join or leave is tried.
	proposalLifetime = 2 * time.Second
	// idleWait is how long a proposer without proposals sleeps at most.
	idleWait = time.Minute
	// maxProbes is the number of probes that run at once.
	maxProbes = 32
	// leastStorePause and mostStorePause bound the pause after a failed call to the store.
	leastStorePause = 100 * time.Millisecond
	mostStorePause  = 5 * time.Second
)

// proposer writes changes of the membership to the store.
type proposer struct {
	node    *node
	watches *watches
	spread  func(fleet.Membership)
	events  chan event
	cancel  context.CancelFunc
	running sync.WaitGroup

	// The fields below belong to the proposer's goroutine.
	reports *fleet.FailureReports
	probing map[fleet.IncarnationID]bool
	pending []proposal
	pause   backoff
	resume  time.Time
}

func newProposer(n *node, spread func(fleet.Membership)) *proposer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &proposer{
		node:    n,
		spread:  spread,
		events:  make(chan event, pendingEvents),
		cancel:  cancel,
		reports: fleet.NewFailureReports(),
		probing: make(map[fleet.IncarnationID]bool),
		pause:   newBackoff(leastStorePause, mostStorePause),
	}
	p.watches = newWatches(n, p.tell)
	p.running.Go(func() {
		for ctx.Err() == nil {
			p.step(ctx)
		}
	})
	return p
}

func (p *proposer) close() {
	p.watches.close()
	p.cancel()
	p.running.Wait()
	for _, one := range p.pending {
		one.finish(fault.New(fault.Stopping, "the instance is stopping"))
	}
}

// propose asks for a change and waits until it is written.
func (p *proposer) propose(ctx context.Context, change fleet.Change) error {
	result := make(chan error, 1)
	if !p.offer(proposed{change, result}) {
		return fault.New(fault.StoreUnavailable, "too many changes of the membership are waiting")
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.New(fault.StoreUnavailable, "the membership was not written in time")
	}
}

// offer queues an event unless too many are waiting.
func (p *proposer) offer(e event) bool {
	select {
	case p.events <- e:
		return true
	default:
		return false
	}
}

// step waits for an event or for a proposal to be due.
func (p *proposer) step(ctx context.Context) {
	timer := time.NewTimer(p.wait(time.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case e := <-p.events:
		p.handle(ctx, e)
	case <-timer.C:
	}
	p.flush(ctx, time.Now())
}

// wait returns the time until the next proposal is due or expires.
func (p *proposer) wait(now time.Time) time.Duration {
	wait := idleWait
	for _, one := range p.pending {
		due := one.due
		if p.resume.After(due) {
			due = p.resume
		}
		if !one.expires.IsZero() && one.expires.Before(due) {
			due = one.expires
		}
		wait = min(wait, due.Sub(now))
	}
	return max(wait, 0)
}

func (p *proposer) handle(ctx context.Context, e event) {
	now := time.Now()
	switch e := e.(type) {
	case proposed:
		p.pending = append(p.pending, proposal{
			change: e.change, due: now.Add(batchWindow), expires: now.Add(proposalLifetime), result: e.result,
		})
	case reported:
		p.node.counters.Reports.Add(1)
		p.reports.Add(e.report, now)
		p.verify(ctx, e.report.FailedIncarnation())
	case probed:
		delete(p.probing, e.subject)
		p.conclude(e, now)
	}
}

// verify probes a reported instance before its removal is considered.
func (p *proposer) verify(ctx context.Context, subject fleet.IncarnationID) {
	peer, found := p.node.roster.current().Find(subject.ID)
	if !found || peer.Incarnation != subject.Incarnation || p.removing(subject) {
		return
	}
	if p.probing[subject] || len(p.probing) >= maxProbes {
		return
	}
	p.probing[subject] = true
	p.running.Go(func() {
		session, err := p.node.probe(ctx, peer)
		if err == nil {
			closeQuietly(session)
		}
		outcome := probed{subject, err == nil, err != nil && p.node.keeper.health.excuses(err)}
		select {
		case p.events <- outcome:
		case <-ctx.Done():
		}
	})
}

// conclude adds the proposer's own probe to the reports.
func (p *proposer) conclude(e probed, now time.Time) {
	switch {
	case e.answers:
		p.reports.Forget(e.subject)
	case e.excused:
		p.node.counters.ProbesExcused.Add(1)
	default:
		p.reports.Add(p.ownReport(e.subject), now)
		p.consider(e.subject, now)
	}
}

// consider schedules the removal of an instance that enough others have lost as well.
func (p *proposer) consider(subject fleet.IncarnationID, now time.Time) {
	if p.removing(subject) || !p.supported(subject, now) {
		return
	}
	suspects := append(p.watches.suspects(), subject.ID)
	proposers := p.node.roster.current().Proposers(p.node.settings.Region, suspects)
	rank := fleet.IndexOf(proposers, p.node.roster.own().ID)
	if rank < 0 {
		rank = len(proposers)
	}
	delay := p.watches.view().RemovalDelay(rank)
	p.pending = append(p.pending, proposal{change: fleet.Remove(subject), due: now.Add(delay)})
}

// removing reports whether the removal is pending already.
func (p *proposer) removing(subject fleet.IncarnationID) bool {
	return slices.ContainsFunc(p.pending, func(one proposal) bool { return one.change == fleet.Change(fleet.Remove(subject)) })
}

// supported reports whether enough instances report the failure now.
func (p *proposer) supported(subject fleet.IncarnationID, now time.Time) bool {
	reporters := p.reports.CountReporters(subject, p.node.roster.current(), now)
	return reporters >= p.watches.view().RequiredReporters()
}

func (p *proposer) ownReport(subject fleet.IncarnationID) fleet.FailureReport {
	return fleet.FailureReport{Reporter: p.node.roster.own().ID, Failed: subject.ID, Incarnation: subject.Incarnation}
}

// isOwn reports whether the instance is this one.
func (p *proposer) isOwn(id types.InstanceID) bool { return p.node.roster.own().ID == id }
