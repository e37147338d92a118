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
	// maxPendingEvents is the capacity of the queue of events.
	maxPendingEvents = 256
	// batchWindow is how long a join or leave waits for others, so that they are written together.
	batchWindow = 100 * time.Millisecond
	// proposalLifetime is the time after which a join or leave that could not be written fails.
	proposalLifetime = 2 * time.Second
	// maxIdleWait bounds the wait for events of a proposer without proposals.
	maxIdleWait = time.Minute
	// maxConcurrentProbes is the largest number of probes that run at the same time.
	maxConcurrentProbes = 32
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call to the store.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

// proposer writes changes of the membership to the store: joins, leaves, and removals of instances that enough others
// report as failed.
type proposer struct {
	node       *node
	detector   *failureDetector
	broadcast  func(fleet.Membership)
	events     chan event
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// Only the proposer's goroutine uses the fields below.
	reports      *fleet.FailureReports
	probing      map[fleet.IncarnationID]bool
	pending      []proposal
	storeBackoff backoff
	resumeAt     time.Time
}

func newProposer(n *node, broadcast func(fleet.Membership)) *proposer {
	ctx, cancel := context.WithCancel(context.Background())
	p := &proposer{
		node:         n,
		broadcast:    broadcast,
		events:       make(chan event, maxPendingEvents),
		cancel:       cancel,
		reports:      fleet.NewFailureReports(),
		probing:      make(map[fleet.IncarnationID]bool),
		storeBackoff: newBackoff(minStoreBackoff, maxStoreBackoff),
	}
	p.detector = newFailureDetector(n, p.reportFailure)
	p.goroutines.Go(func() {
		for ctx.Err() == nil {
			p.step(ctx)
		}
	})
	return p
}

func (p *proposer) close() {
	p.detector.close()
	p.cancel()
	p.goroutines.Wait()
	for _, queued := range p.pending {
		queued.finish(fault.New(fault.Stopping, "the instance is stopping"))
	}
}

// propose submits a change and waits until it is written.
func (p *proposer) propose(ctx context.Context, change fleet.Change) error {
	result := make(chan error, 1)
	if !p.enqueue(changeProposed{change, result}) {
		return fault.New(fault.StoreUnavailable, "too many changes of the membership are pending")
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return fault.New(fault.StoreUnavailable, "the membership was not written in time")
	}
}

// enqueue queues an event and returns false if the queue is full.
func (p *proposer) enqueue(e event) bool {
	select {
	case p.events <- e:
		return true
	default:
		return false
	}
}

// step waits for an event or until a proposal is due, and then writes what is due.
func (p *proposer) step(ctx context.Context) {
	timer := time.NewTimer(p.untilNextDue(time.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case e := <-p.events:
		p.handle(ctx, e)
	case <-timer.C:
	}
	p.writeDue(ctx, time.Now())
}

// untilNextDue returns the time until the next proposal is due and the backoff has passed, or until one expires.
func (p *proposer) untilNextDue(now time.Time) time.Duration {
	wait := maxIdleWait
	for _, queued := range p.pending {
		due := queued.dueAt
		if p.resumeAt.After(due) {
			due = p.resumeAt
		}
		if !queued.expiresAt.IsZero() && queued.expiresAt.Before(due) {
			due = queued.expiresAt
		}
		wait = min(wait, due.Sub(now))
	}
	return max(wait, 0)
}

func (p *proposer) handle(ctx context.Context, e event) {
	now := time.Now()
	switch e := e.(type) {
	case changeProposed:
		p.pending = append(p.pending, proposal{
			change: e.change, dueAt: now.Add(batchWindow), expiresAt: now.Add(proposalLifetime), result: e.result,
		})
	case failureReported:
		p.node.counters.FailureReports.Add(1)
		p.reports.Add(e.report, now)
		p.startProbe(ctx, e.report.FailedIncarnation())
	case probeFinished:
		delete(p.probing, e.probed)
		p.recordProbe(e, now)
	}
}

// startProbe probes a reported instance; only a failed probe can lead to its removal.
func (p *proposer) startProbe(ctx context.Context, reported fleet.IncarnationID) {
	peer, found := p.node.membership.current().Find(reported.ID)
	if !found || peer.Incarnation != reported.Incarnation || p.isRemovalPending(reported) {
		return
	}
	if p.probing[reported] || len(p.probing) >= maxConcurrentProbes {
		return
	}
	p.probing[reported] = true
	p.goroutines.Go(func() {
		session, err := p.node.probe(ctx, peer)
		if err == nil {
			closeQuietly(session)
		}
		outcome := probeFinished{reported, err == nil, err != nil && p.node.sessionMonitor.health.isLocalFailure(err)}
		select {
		case p.events <- outcome:
		case <-ctx.Done():
		}
	})
}

// recordProbe handles the outcome of the proposer's own probe: a failure counts as a report of this instance, a
// response discards the reports of the others, and an inconclusive probe is only counted.
func (p *proposer) recordProbe(e probeFinished, now time.Time) {
	switch {
	case e.responded:
		p.reports.Forget(e.probed)
	case e.inconclusive:
		p.node.counters.ProbesInconclusive.Add(1)
	default:
		p.reports.Add(p.ownReport(e.probed), now)
		p.scheduleRemoval(e.probed, now)
	}
}

// scheduleRemoval schedules the removal of an instance that enough others report as failed. The delay depends on the
// rank of this instance among the proposers, so that usually only one of them writes the removal. An instance that is
// not a proposer comes after all proposers.
func (p *proposer) scheduleRemoval(failed fleet.IncarnationID, now time.Time) {
	if p.isRemovalPending(failed) || !p.hasEnoughReporters(failed, now) {
		return
	}
	suspects := append(p.detector.suspects(), failed.ID)
	proposers := p.node.membership.current().Proposers(p.node.settings.Region, suspects)
	rank := fleet.IndexOf(proposers, p.node.membership.localInstance().ID)
	if rank < 0 {
		rank = len(proposers)
	}
	delay := p.detector.proposerView().RemovalDelay(rank)
	p.pending = append(p.pending, proposal{change: fleet.Remove(failed), dueAt: now.Add(delay)})
}

// isRemovalPending reports whether the removal of the instance is already pending.
func (p *proposer) isRemovalPending(failed fleet.IncarnationID) bool {
	return slices.ContainsFunc(p.pending, func(queued proposal) bool { return queued.change == fleet.Change(fleet.Remove(failed)) })
}

// hasEnoughReporters reports whether enough instances currently report the failure.
func (p *proposer) hasEnoughReporters(failed fleet.IncarnationID, now time.Time) bool {
	reporters := p.reports.CountReporters(failed, p.node.membership.current(), now)
	return reporters >= p.detector.proposerView().RequiredReporters()
}

func (p *proposer) ownReport(failed fleet.IncarnationID) fleet.FailureReport {
	return fleet.FailureReport{Reporter: p.node.membership.localInstance().ID, Failed: failed.ID, Incarnation: failed.Incarnation}
}

// isSelf reports whether the id is that of this instance.
func (p *proposer) isSelf(id types.InstanceID) bool {
	return p.node.membership.localInstance().ID == id
}
