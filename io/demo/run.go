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
	w, err := newWorld()
	if err != nil {
		return Summary{}, err
	}
	defer w.close()
	d := &demo{settings: settings, world: w}
	d.sayf("%d instances, %d databases of %d members, contracts of %s and %s, seed %d",
		instances, databases, members, sencnik, omprela, settings.Seed)
	results, err := d.load(limited)
	if err != nil {
		return Summary{}, err
	}
	for _, r := range results {
		d.sayf("\n%s", r.Text())
	}
	summary := newSummary(results, settings.Seed)
	summary.FailoverGap = load.Milliseconds(failoverGap(results, w.group.Databases[0].Database, d.killed).Milliseconds())
	d.conclude(summary)
	return summary, nil
}

// demo is one run.
type demo struct {
	settings Settings
	world    *world
	killed   time.Time
}

// load runs every customer's load and kills the primary half way.
func (d *demo) load(ctx context.Context) ([]load.Result, error) {
	all := loads(d.settings)
	results := make([]load.Result, len(all))
	problems := make([]error, len(all))
	var running sync.WaitGroup
	for i, settings := range all {
		running.Go(func() { results[i], problems[i] = load.Run(ctx, d.world.target(settings)) })
	}
	running.Go(func() { d.kill(ctx) })
	running.Wait()
	for i, err := range problems {
		if err != nil {
			return nil, errors.Wrapf(err, "load of %s", all[i].Customer)
		}
	}
	return results, nil
}

// kill ends the primary of the first database after half of the load's duration.
func (d *demo) kill(ctx context.Context) {
	timer := time.NewTimer(d.settings.Duration / 2)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	for _, m := range d.world.members[0] {
		if status := m.Status(); status.Role == fakedb.Primary {
			d.sayf("killing %s, primary of term %d at position %d", status.Target, status.Term, status.Position)
			d.killed = time.Now()
			_ = m.Close()
			return
		}
	}
}

// conclude says in words what the summary holds.
func (d *demo) conclude(s Summary) {
	d.sayf("the database was without acknowledged writes for %.0f ms at most around the kill", float64(s.FailoverGap))
	d.sayf("replicas served %.1f %% of the reads", 100*s.ReplicaReadShare)
	if s.Clean() {
		d.sayf("no acknowledged write was lost, none was doubled, no refusal was false, no read was stale")
		return
	}
	d.sayf("promises broken: %d writes lost, %d doubled, %d refusals false, %d reads stale",
		s.LostWrites, s.DoubledWrites, s.FalseRefusals, s.StaleReads)
}

func (d *demo) sayf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(d.settings.Out, format+"\n", arguments...)
}
