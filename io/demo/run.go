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

// runTimeout bounds the duration of the demo.
const runTimeout = 28 * time.Second

// Run starts the system, generates the load of both customers, kills a primary halfway and returns a summary.
func Run(ctx context.Context, settings Settings) (Summary, error) {
	limited, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s, err := newSystem()
	if err != nil {
		return Summary{}, err
	}
	defer s.close()
	d := &demoRun{settings: settings, system: s}
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
	summary.FailoverGap = load.Milliseconds(failoverGap(results, s.group.Databases[0].Database, d.killedAt).Milliseconds())
	d.printSummary(summary)
	return summary, nil
}

// demoRun is the state of one run of the demo.
type demoRun struct {
	settings Settings
	system   *system
	killedAt time.Time
}

// runLoads runs the load of every customer and kills the primary halfway.
func (d *demoRun) runLoads(ctx context.Context) ([]load.Result, error) {
	loads := customerLoads(d.settings)
	results := make([]load.Result, len(loads))
	errs := make([]error, len(loads))
	var goroutines sync.WaitGroup
	for i, settings := range loads {
		goroutines.Go(func() { results[i], errs[i] = load.Run(ctx, d.system.withAddresses(settings)) })
	}
	goroutines.Go(func() { d.killPrimary(ctx) })
	goroutines.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, errors.Wrapf(err, "load of %s", loads[i].Customer)
		}
	}
	return results, nil
}

// killPrimary stops the primary of the first database after half of the load's duration.
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

// printSummary prints the summary as sentences.
func (d *demoRun) printSummary(s Summary) {
	d.printf("longest time without an acknowledged write to the database of the killed primary: %.0f ms", float64(s.FailoverGap))
	d.printf("replicas served %.1f %% of the reads", 100*s.ReplicaReadShare)
	if s.Clean() {
		d.printf("no acknowledged write was lost, none was doubled, no refusal was false, no read was stale")
		return
	}
	d.printf("violations found: %d writes lost, %d doubled, %d refusals false, %d reads stale",
		s.LostWrites, s.DoubledWrites, s.FalseRefusals, s.StaleReads)
}

func (d *demoRun) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, format+"\n", arguments...)
}
