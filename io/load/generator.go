package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// maxQueuedRequests bounds the requests that wait for one session's callers.
const maxQueuedRequests = 4096

// generator draws requests at their intended starts and hands them to the sessions' callers.
type generator struct {
	settings   Settings
	recorder   *recorder
	random     *rand.Rand
	sessions   []*session
	queues     []chan request
	goroutines sync.WaitGroup
}

// newGenerator starts the callers of every session.
func newGenerator(ctx context.Context, settings Settings, run runID, history *audit.History, rec *recorder) *generator {
	g := &generator{settings: settings, recorder: rec, random: rand.New(rand.NewPCG(settings.Seed, 0))}
	for i := range settings.Sessions {
		s := &session{
			name:         types.SessionName(fmt.Sprintf("%s-s%d", run, i)),
			run:          run,
			database:     settings.Databases[i%len(settings.Databases)],
			workload:     settings.Workload,
			counterCount: settings.Sessions,
			ownCounter:   i,
		}
		queue := make(chan request, maxQueuedRequests)
		g.sessions = append(g.sessions, s)
		g.queues = append(g.queues, queue)
		for j := range settings.Connections {
			c := newCaller(s, settings, history, rec, uint64(1+i*settings.Connections+j))
			g.goroutines.Go(func() {
				defer c.connections.close()
				for r := range queue {
					c.runRequest(ctx, r)
				}
			})
		}
	}
	return g
}

// generate hands out requests until the duration is over or the context ends.
func (g *generator) generate(ctx context.Context) {
	start := time.Now()
	offset := time.Duration(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for offset < g.settings.Duration {
		timer.Reset(time.Until(start.Add(offset)))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		g.dispatch(start.Add(offset))
		offset += time.Duration(g.random.ExpFloat64() * float64(g.settings.Rate.interval()))
	}
}

// dispatch draws one request and puts it into its session's queue.
func (g *generator) dispatch(intended time.Time) {
	i := g.random.IntN(len(g.sessions))
	r := g.sessions[i].newRequest(g.random, g.random.Float64() < g.settings.WriteShare)
	r.intendedStart = intended
	select {
	case g.queues[i] <- r:
	default:
		g.recorder.recordMissed(r.class)
		if r.onFinished != nil {
			r.onFinished(audit.NotRun)
		}
	}
}

// Close lets the callers finish what waits and joins them.
func (g *generator) Close() {
	for _, queue := range g.queues {
		close(queue)
	}
	g.goroutines.Wait()
}
