package load

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/audit"
)

// Run generates the load, reads the final state, checks the history and returns the result.
func Run(ctx context.Context, settings Settings) (Result, error) {
	if err := settings.check(); err != nil {
		return Result{}, err
	}
	classes, err := settings.Workload.classes()
	if err != nil {
		return Result{}, err
	}
	run := newRunID()
	client := tableClient{settings: settings, run: run, counterCount: settings.Sessions}
	if err := client.prepare(ctx); err != nil {
		return Result{}, errors.Wrap(err, "preparing the tables")
	}
	initial, err := client.readState(ctx)
	if err != nil {
		return Result{}, errors.Wrap(err, "reading the initial state")
	}
	readsBefore := countReplicaReads(ctx, settings.ReadCounter, settings.Customer)
	m := runLoad(ctx, settings, run, classes)
	readsAfter := countReplicaReads(ctx, settings.ReadCounter, settings.Customer)
	final, err := client.readState(ctx)
	if err != nil {
		return Result{}, errors.Wrap(err, "reading the final state")
	}
	result := m.result(settings, classes)
	result.ReplicaReadShare = readsAfter.shareSince(readsBefore, result.AcknowledgedReads)
	result.checkHistory(m.history.Operations(), initial, final)
	return result, nil
}

// measurement holds what the callers of one run recorded.
type measurement struct {
	start    time.Time
	history  *audit.History
	recorder *recorder
}

// runLoad generates the load and waits until the last request has ended.
func runLoad(ctx context.Context, settings Settings, run runID, classes []Class) measurement {
	m := measurement{start: time.Now(), history: audit.NewHistory(), recorder: newRecorder(classes)}
	status := newProgress(settings.Progress, m.recorder)
	g := newGenerator(ctx, settings, run, m.history, m.recorder)
	g.generate(ctx)
	g.Close()
	status.Close()
	return m
}

// result returns the statistics of the run.
func (m measurement) result(settings Settings, classes []Class) Result {
	t := m.recorder.totals
	gaps := newWriteGaps(m.recorder.samples, settings.Databases, m.start)
	return Result{
		Workload:           settings.Workload,
		Customer:           settings.Customer,
		Seed:               settings.Seed,
		Started:            m.start,
		Duration:           toMilliseconds(time.Since(m.start)),
		Requests:           t.requests,
		AcknowledgedWrites: t.acknowledgedWrites,
		AcknowledgedReads:  t.acknowledged - t.acknowledgedWrites,
		FailoverGap:        maxGapLength(gaps),
		Classes:            m.recorder.results(classes),
		Gaps:               gaps,
		Timeline:           newTimeline(m.recorder.samples, m.start),
	}
}

// checkHistory checks the history and adds the findings to the result.
func (r *Result) checkHistory(operations []audit.Operation, initial, final audit.State) {
	checked := audit.Check(operations, initial, final)
	r.LostWrites = checked.LostWrites
	r.DoubledWrites = checked.DoubledWrites
	r.FalseRefusals = checked.FalseRefusals
	r.StaleReads = checked.StaleReads
	r.Findings = checked.Findings
	r.Linearizable = audit.Linearizable(operations, initial)
	r.Operations = operations
}
