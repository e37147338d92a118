package load

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// caller carries out requests of one session one after another.
type caller struct {
	session     *session
	settings    Settings
	history     *audit.History
	recorder    *recorder
	random      *rand.Rand
	connections *connections
	address     int
	done        int
}

func newCaller(s *session, settings Settings, history *audit.History, rec *recorder, number uint64) *caller {
	random := rand.New(rand.NewPCG(settings.Seed, number))
	id := identity{customer: settings.Customer, database: s.database, session: s.name, prepared: settings.Prepared}
	return &caller{
		session: s, settings: settings, history: history, recorder: rec, random: random,
		connections: newConnections(id), address: random.IntN(len(settings.Addresses)),
	}
}

// serve carries out one request with its retries and records it.
func (c *caller) serve(ctx context.Context, r request) {
	c.roam()
	limited, cancel := context.WithTimeout(ctx, c.settings.RequestTimeout)
	defer cancel()
	started := time.Now()
	outcome := c.retry(limited, r)
	if r.finished != nil {
		r.finished(outcome)
	}
	c.recorder.record(sample{
		class: r.class, database: c.session.database, writes: r.writes(), outcome: outcome,
		intended: r.intended, started: started, returned: time.Now(),
	})
}

// retry repeats the request while that is safe and time is left.
func (c *caller) retry(ctx context.Context, r request) audit.Outcome {
	pauses := newBackoff(c.random)
	keyed := c.newKeyed(r)
	for {
		invoked := c.history.Now()
		a := c.attempt(ctx, r, keyed.key)
		outcome := keyed.add(a, invoked, c.history.Now())
		if outcome != audit.Acknowledged {
			c.recorder.recordRefusal(r.class, a.sqlState)
		}
		if a.broken || a.outcome == audit.NotRun {
			c.move()
		}
		if !keyed.mayRepeat(a) || !pauses.wait(ctx) {
			keyed.finish(c.history)
			return outcome
		}
	}
}

// attempt sends the request once.
func (c *caller) attempt(ctx context.Context, r request, key types.RequestKey) answer {
	address := c.settings.Addresses[c.address]
	connection, err := c.connections.get(ctx, address)
	if err != nil {
		return classifyConnect(err)
	}
	if key != "" {
		if _, err := connection.Exec(ctx, "SET pulley.request_key = '"+string(key)+"'"); err != nil {
			c.connections.drop(address)
			return classifyUncommitted(err)
		}
	}
	a := execute(ctx, connection, r)
	if a.broken || connection.IsClosed() {
		c.connections.drop(address)
	}
	return a
}

// roam moves to another instance after the number of requests that the settings say.
func (c *caller) roam() {
	c.done++
	if c.settings.Roam > 0 && c.done%c.settings.Roam == 0 {
		c.move()
	}
}

// move lets the next attempt use another instance.
func (c *caller) move() {
	if n := len(c.settings.Addresses); n > 1 {
		c.address = (c.address + 1 + c.random.IntN(n-1)) % n
	}
}
