package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/io/fakedb"
	"turmericpulley/io/load"
)

// runTimeout ends the demo in any case.
const runTimeout = 28 * time.Second

// Run starts the system, generates both customers' load, kills a primary half way and returns what was recorded.
func Run(ctx context.Context, settings Settings) (Summary, error) {
	limited, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	w, err := newSystem()
	if err != nil {
		return Summary{}, err
	}
	defer w.close()
	d := &demoRun{settings: settings, system: w}
	d.printf("%d instances, %d databases of %d members, contracts of %s and %s, seed %d",
		instanceCount, databaseCount, memberCount, sencnik, omprela, settings.Seed)
	results, err := d.runLoads(limited)
	if err != nil {
		return Summary{}, err
	}
	for _, r := range results {
		d.printf("\n%s", r.Text())
	}
	summary := newSummary(results, settings.Seed)
	summary.FailoverGap = load.Milliseconds(failoverGap(results, w.group.Databases[0].Database, d.killedAt).Milliseconds())
	d.printSummary(summary)
	return summary, nil
}

// demoRun is one run.
type demoRun struct {
	settings Settings
	system   *system
	killedAt time.Time
}

// runLoads runs every customer's load and kills the primary half way.
func (d *demoRun) runLoads(ctx context.Context) ([]load.Result, error) {
	all := customerLoads(d.settings)
	results := make([]load.Result, len(all))
	problems := make([]error, len(all))
	var running sync.WaitGroup
	for i, settings := range all {
		running.Go(func() { results[i], problems[i] = load.Run(ctx, d.system.withAddresses(settings)) })
	}
	running.Go(func() { d.killPrimary(ctx) })
	running.Wait()
	for i, err := range problems {
		if err != nil {
			return nil, errors.Wrapf(err, "load of %s", all[i].Customer)
		}
	}
	return results, nil
}

// killPrimary ends the primary of the first database after half of the load's duration.
func (d *demoRun) killPrimary(ctx context.Context) {
	timer := time.NewTimer(d.settings.Duration / 2)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	for _, m := range d.system.members[0] {
		if status := m.Status(); status.Role == fakedb.Primary {
			d.printf("killing %s, primary of term %d at position %d", status.Target, status.Term, status.Position)
			d.killedAt = time.Now()
			_ = m.Close()
			return
		}
	}
}

// printSummary says in words what the summary holds.
func (d *demoRun) printSummary(s Summary) {
	d.printf("the database was without acknowledged writes for %.0f ms at most around the kill", float64(s.FailoverGap))
	d.printf("replicas served %.1f %% of the reads", 100*s.ReplicaReadShare)
	if s.Clean() {
		d.printf("no acknowledged write was lost, none was doubled, no refusal was false, no read was stale")
		return
	}
	d.printf("promises broken: %d writes lost, %d doubled, %d refusals false, %d reads stale",
		s.LostWrites, s.DoubledWrites, s.FalseRefusals, s.StaleReads)
}

func (d *demoRun) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, format+"\n", arguments...)
}
