package soak_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericpulley/io/check"
)

// fault is one kind of trouble; it returns when the trouble is over.
type fault struct {
	name string
	run  func(w *environment, r *rand.Rand)
}

// plan draws faults from a seed.
type plan struct {
	random *rand.Rand
	faults []fault
}

const (
	// meanFaultInterval is the mean time between the beginnings of two faults, so that most overlap with another one.
	meanFaultInterval = 600 * time.Millisecond
	// maxFaultDuration is the longest time that a fault lasts.
	maxFaultDuration = 4 * time.Second
	// exitTimeout bounds the wait for a process that was asked to stop.
	exitTimeout = 5 * time.Second
)

func newPlan(seed uint64, calm bool) *plan {
	p := &plan{random: rand.New(rand.NewPCG(seed, 1)), faults: plannedOperations}
	if !calm {
		p.faults = append(append([]fault{}, plannedOperations...), unplannedFaults...)
	}
	return p
}

// String names the kinds of faults that the plan draws from.
func (p *plan) String() string {
	names := make([]string, 0, len(p.faults))
	for _, k := range p.faults {
		names = append(names, k.name)
	}
	return strings.Join(names, ", ")
}

// run begins faults for the span and waits for the end of all.
func (p *plan) run(w *environment, span time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(p.random.ExpFloat64() * float64(meanFaultInterval)))
		kind := p.faults[p.random.IntN(len(p.faults))]
		own := rand.New(rand.NewPCG(p.random.Uint64(), 2))
		running.Go(func() {
			w.t.Logf("%s %s", w.elapsed(), kind.name)
			kind.run(w, own)
		})
	}
	running.Wait()
}

// randomDuration returns how long a fault lasts.
func randomDuration(r *rand.Rand) time.Duration {
	return 100*time.Millisecond + time.Duration(r.Float64()*float64(maxFaultDuration))
}

// plannedOperations is the work that must cut nothing.
var plannedOperations = []fault{
	{"instance stops and starts again", func(w *environment, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Terminate()
			w.awaitExit(i, exitTimeout)
			i.process.Start()
		})
	}},
	{"configuration changes", func(w *environment, _ *rand.Rand) { w.configure() }},
	{"configurations follow each other", func(w *environment, _ *rand.Rand) {
		for range 6 {
			w.configure()
			time.Sleep(60 * time.Millisecond)
		}
	}},
	{"member leaves", func(w *environment, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.platform.Group.Member(m).Drain()
			time.Sleep(randomDuration(r) + maxFaultDuration/2)
			w.platform.Group.Member(m).CancelDrain()
		})
	}},
}

// unplannedFaults is what may cost answers, but never a promise.
var unplannedFaults = []fault{
	{"instance is killed", func(w *environment, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Kill()
			time.Sleep(randomDuration(r) / 2)
			i.process.Start()
		})
	}},
	{"instance is suspended", func(w *environment, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Pause()
			time.Sleep(randomDuration(r))
			i.process.Resume()
		})
	}},
	{"all instances are killed", func(w *environment, r *rand.Rand) {
		w.withAll(func(all []*instance) {
			for _, i := range all {
				i.process.Kill()
			}
			time.Sleep(randomDuration(r) / 4)
			for _, i := range all {
				i.process.Start()
			}
		})
	}},
	{"store is down", func(w *environment, r *rand.Rand) {
		w.platform.Store.ForceStatus(http.StatusServiceUnavailable)
		time.Sleep(randomDuration(r))
		w.platform.Store.ForceStatus(0)
	}},
	{"store loses answers", func(w *environment, r *rand.Rand) {
		w.platform.Store.LoseResponses(true)
		time.Sleep(randomDuration(r))
		w.platform.Store.LoseResponses(false)
	}},
	{"store forgets its history", func(w *environment, _ *rand.Rand) { w.platform.Store.Compact() }},
	{"owner's record is taken away", func(w *environment, _ *rand.Rand) { w.platform.Store.Delete(ownerKey) }},
	{"instance's entry is taken away", func(w *environment, r *rand.Rand) {
		w.platform.Store.Delete("turmericpulley/instances/" + w.randomInstance(r).name)
	}},
	{"way to the store is cut", func(w *environment, r *rand.Rand) { w.withStoreLinkFault(r, func(l *check.Link) { l.CutBoth() }) }},
	{"answers of the store are cut", func(w *environment, r *rand.Rand) {
		w.withStoreLinkFault(r, func(l *check.Link) { l.Cut(check.Downstream) })
	}},
	{"connections to the store go silent", func(w *environment, r *rand.Rand) {
		w.withStoreLinkFault(r, func(l *check.Link) { l.BlackholeOpenConns() })
	}},
	{"connections to the store are reset", func(w *environment, r *rand.Rand) { w.withStoreLinkFault(r, func(l *check.Link) { l.Reset() }) }},
	{"callers' connections are reset", func(w *environment, r *rand.Rand) {
		l := w.randomInstance(r).callerLink
		l.Reset()
		time.Sleep(randomDuration(r) / 4)
		l.Heal()
	}},
	{"member crashes", func(w *environment, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.platform.Group.Member(m).Crash()
			time.Sleep(randomDuration(r))
			w.restart(m)
		})
	}},
	{"member goes silent", func(w *environment, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.platform.Group.Member(m).SetUnresponsive(true)
			time.Sleep(randomDuration(r))
			w.platform.Group.Member(m).SetUnresponsive(false)
		})
	}},
	{"member loses answers", func(w *environment, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.platform.Group.Member(m).LoseResponses(true)
			time.Sleep(randomDuration(r) / 2)
			w.platform.Group.Member(m).LoseResponses(false)
		})
	}},
	{"member is cut from an instance", func(w *environment, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.platform.Group.Member(m).PartitionFrom(w.randomInstance(r).name)
			time.Sleep(randomDuration(r))
			w.platform.Group.Member(m).PartitionFrom("")
		})
	}},
}
