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
	run  func(w *world, r *rand.Rand)
}

// plan draws faults from a seed.
type plan struct {
	random *rand.Rand
	kinds  []fault
}

const (
	// meanGap is the mean time between the beginnings of two faults, so that most overlap with another one.
	meanGap = 600 * time.Millisecond
	// longest is the longest time that a fault lasts.
	longest = 4 * time.Second
	// graceLimit bounds the wait for a process that was asked to stop.
	graceLimit = 5 * time.Second
)

func newPlan(seed uint64, calm bool) *plan {
	p := &plan{random: rand.New(rand.NewPCG(seed, 1)), kinds: planned}
	if !calm {
		p.kinds = append(append([]fault{}, planned...), unplanned...)
	}
	return p
}

// String names the kinds of faults that the plan draws from.
func (p *plan) String() string {
	names := make([]string, 0, len(p.kinds))
	for _, k := range p.kinds {
		names = append(names, k.name)
	}
	return strings.Join(names, ", ")
}

// play begins faults for the span and waits for the end of all.
func (p *plan) play(w *world, span time.Duration) {
	var running sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); {
		time.Sleep(time.Duration(p.random.ExpFloat64() * float64(meanGap)))
		kind := p.kinds[p.random.IntN(len(p.kinds))]
		own := rand.New(rand.NewPCG(p.random.Uint64(), 2))
		running.Go(func() {
			w.t.Logf("%s %s", w.elapsed(), kind.name)
			kind.run(w, own)
		})
	}
	running.Wait()
}

// lasting returns how long a fault lasts.
func lasting(r *rand.Rand) time.Duration {
	return 100*time.Millisecond + time.Duration(r.Float64()*float64(longest))
}

// planned is the work that must cut nothing.
var planned = []fault{
	{"instance stops and starts again", func(w *world, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Terminate()
			w.awaitEnd(i, graceLimit)
			i.process.Start()
		})
	}},
	{"configuration changes", func(w *world, _ *rand.Rand) { w.configure() }},
	{"configurations follow each other", func(w *world, _ *rand.Rand) {
		for range 6 {
			w.configure()
			time.Sleep(60 * time.Millisecond)
		}
	}},
	{"member leaves", func(w *world, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.site.Group.Member(m).Drain()
			time.Sleep(lasting(r) + longest/2)
			w.site.Group.Member(m).Stay()
		})
	}},
}

// unplanned is what may cost answers, but never a promise.
var unplanned = []fault{
	{"instance is killed", func(w *world, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Kill()
			time.Sleep(lasting(r) / 2)
			i.process.Start()
		})
	}},
	{"instance is suspended", func(w *world, r *rand.Rand) {
		w.withProcess(r, func(i *instance) {
			i.process.Pause()
			time.Sleep(lasting(r))
			i.process.Resume()
		})
	}},
	{"all instances are killed", func(w *world, r *rand.Rand) {
		w.withAll(func(all []*instance) {
			for _, i := range all {
				i.process.Kill()
			}
			time.Sleep(lasting(r) / 4)
			for _, i := range all {
				i.process.Start()
			}
		})
	}},
	{"store is down", func(w *world, r *rand.Rand) {
		w.site.Store.Answer(http.StatusServiceUnavailable)
		time.Sleep(lasting(r))
		w.site.Store.Answer(0)
	}},
	{"store loses answers", func(w *world, r *rand.Rand) {
		w.site.Store.LoseAnswers(true)
		time.Sleep(lasting(r))
		w.site.Store.LoseAnswers(false)
	}},
	{"store forgets its history", func(w *world, _ *rand.Rand) { w.site.Store.Compact() }},
	{"owner's record is taken away", func(w *world, _ *rand.Rand) { w.site.Store.Delete(ownerKey) }},
	{"instance's entry is taken away", func(w *world, r *rand.Rand) {
		w.site.Store.Delete("turmericpulley/instances/" + w.any(r).name)
	}},
	{"way to the store is cut", func(w *world, r *rand.Rand) { w.harm(r, func(l *check.Link) { l.CutBoth() }) }},
	{"answers of the store are cut", func(w *world, r *rand.Rand) { w.harm(r, func(l *check.Link) { l.Cut(check.Downstream) }) }},
	{"connections to the store go silent", func(w *world, r *rand.Rand) { w.harm(r, func(l *check.Link) { l.Silence() }) }},
	{"connections to the store are reset", func(w *world, r *rand.Rand) { w.harm(r, func(l *check.Link) { l.Reset() }) }},
	{"callers' connections are reset", func(w *world, r *rand.Rand) {
		l := w.any(r).callers
		l.Reset()
		time.Sleep(lasting(r) / 4)
		l.Heal()
	}},
	{"member crashes", func(w *world, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.site.Group.Member(m).Crash()
			time.Sleep(lasting(r))
			w.restart(m)
		})
	}},
	{"member goes silent", func(w *world, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.site.Group.Member(m).Silence(true)
			time.Sleep(lasting(r))
			w.site.Group.Member(m).Silence(false)
		})
	}},
	{"member loses answers", func(w *world, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.site.Group.Member(m).LoseReplies(true)
			time.Sleep(lasting(r) / 2)
			w.site.Group.Member(m).LoseReplies(false)
		})
	}},
	{"member is cut from an instance", func(w *world, r *rand.Rand) {
		w.withMember(r, func(m string) {
			w.site.Group.Member(m).CutFrom(w.any(r).name)
			time.Sleep(lasting(r))
			w.site.Group.Member(m).CutFrom("")
		})
	}},
}
