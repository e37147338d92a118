package peers

import (
	"context"
	"sync"
	"sync/atomic"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/io/wire"
)

// maxReportRounds bounds the rounds of a failure report; each round tries other proposers than those before.
const maxReportRounds = 3

// reportFailure reports a failed instance to the proposers. An instance that reaches none of them acts as a proposer
// itself.
func (p *proposer) reportFailure(ctx context.Context, failed fleet.Instance) {
	report := p.ownReport(fleet.IncarnationID{ID: failed.ID, Incarnation: failed.Incarnation})
	excluded := append(p.detector.suspects(), failed.ID)
	for range maxReportRounds {
		proposers := p.node.membership.current().Proposers(p.node.settings.Region, excluded)
		if p.sendReports(ctx, proposers, report) {
			return
		}
		for _, other := range proposers {
			excluded = append(excluded, other.ID)
		}
	}
	p.enqueue(failureReported{report})
}

// sendReports sends the report to the proposers and returns whether any of them accepted it.
func (p *proposer) sendReports(ctx context.Context, proposers []fleet.Instance, report fleet.FailureReport) bool {
	ctx, cancel := context.WithTimeout(ctx, fleet.ProbeTimeout)
	defer cancel()
	accepted := atomic.Bool{}
	sending := sync.WaitGroup{}
	for _, other := range proposers {
		sending.Go(func() {
			if p.sendReport(ctx, other, report) {
				accepted.Store(true)
			}
		})
	}
	sending.Wait()
	return accepted.Load()
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

// requestChange sends a join or leave to the proposers in the order of their rank until one has written it. It returns
// the error of the last proposer if none has. Without any other proposer this instance writes the change itself.
func (p *proposer) requestChange(ctx context.Context, change fleet.Change, request *wire.Request) error {
	self := p.node.membership.localInstance()
	err := error(fault.New(fault.NoOwner, "no instance that writes the membership could be reached"))
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

// requestChangeFrom sends a join or leave to one instance and installs the membership in its reply.
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

// requestChangeTimeout bounds the wait until a proposer has written a change.
const requestChangeTimeout = proposalLifetime + callTimeout
