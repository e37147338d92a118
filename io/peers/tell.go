package peers

import (
	"context"
	"sync"
	"sync/atomic"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/io/wire"
)

// maxReportRounds is the number of times that further proposers are looked for when none answers.
const maxReportRounds = 3

// reportFailure reports a failed instance to the proposers; an instance that reaches none of them acts as one itself.
func (p *proposer) reportFailure(ctx context.Context, failed fleet.Instance) {
	report := p.ownReport(fleet.IncarnationID{ID: failed.ID, Incarnation: failed.Incarnation})
	avoided := append(p.detector.suspects(), failed.ID)
	for range maxReportRounds {
		proposers := p.node.membership.current().Proposers(p.node.settings.Region, avoided)
		if p.sendReports(ctx, proposers, report) {
			return
		}
		for _, other := range proposers {
			avoided = append(avoided, other.ID)
		}
	}
	p.enqueue(failureReported{report})
}

// sendReports passes the report to the proposers and reports whether any took it.
func (p *proposer) sendReports(ctx context.Context, proposers []fleet.Instance, report fleet.FailureReport) bool {
	ctx, cancel := context.WithTimeout(ctx, fleet.ProbeTimeout)
	defer cancel()
	taken := atomic.Bool{}
	telling := sync.WaitGroup{}
	for _, other := range proposers {
		telling.Go(func() {
			if p.sendReport(ctx, other, report) {
				taken.Store(true)
			}
		})
	}
	telling.Wait()
	return taken.Load()
}

func (p *proposer) sendReport(ctx context.Context, other fleet.Instance, report fleet.FailureReport) bool {
	if p.isSelf(other.ID) {
		return p.enqueue(failureReported{report})
	}
	_, err := p.node.call(ctx, other.PeerAddress, reportRequest(report))
	return err == nil
}

func reportRequest(report fleet.FailureReport) *wire.Request {
	return &wire.Request{Kind: &wire.Request_FailureReport{FailureReport: &wire.FailureReport{
		Sender: string(report.Reporter), Failed: string(report.Failed), Incarnation: uint64(report.Incarnation),
	}}}
}

// requestChange sends a join or leave to the proposers in the order of their rank until one writes it; the error is that of the
// last one and nil when a proposer wrote it.
func (p *proposer) requestChange(ctx context.Context, change fleet.Change, request *wire.Request) error {
	self := p.node.membership.localInstance()
	err := error(fault.New(fault.NoOwner, "no instance could be reached that writes the membership"))
	suspects := append(p.detector.suspects(), self.ID)
	others := p.node.membership.current().Proposers(p.node.settings.Region, suspects)
	if len(others) == 0 {
		return p.propose(ctx, change)
	}
	for _, other := range others {
		if err = p.requestChangeFrom(ctx, other.PeerAddress, request); err == nil {
			return nil
		}
	}
	return err
}

// requestChangeFrom sends a join or leave to one instance and takes the membership that it answers with.
func (p *proposer) requestChangeFrom(ctx context.Context, address string, request *wire.Request) error {
	ctx, cancel := context.WithTimeout(ctx, requestChangeTimeout)
	defer cancel()
	reply, err := p.node.call(ctx, address, request)
	if err != nil {
		return err
	}
	p.node.applyDocuments(reply.GetDocuments())
	return nil
}

// requestChangeTimeout bounds the wait for a proposer to write a change.
const requestChangeTimeout = proposalLifetime + callTimeout
