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

// maxQueuedRequests is the largest number of requests that wait for the callers of one session.
const maxQueuedRequests = 4096

// generator creates requests at their intended starts and queues them for the callers of the sessions.
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

// generate creates requests until the duration of the run is over or the context ends. The times between intended
// starts are exponentially distributed.
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

// dispatch creates one request of a random session and puts it into that session's queue. If the queue is full, the
// request is counted as missed and not sent.
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

// Close waits until the callers have processed all queued requests.
func (g *generator) Close() {
	for _, queue := range g.queues {
		close(queue)
	}
	g.goroutines.Wait()
}
