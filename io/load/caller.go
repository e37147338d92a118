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
	session      *session
	settings     Settings
	history      *audit.History
	recorder     *recorder
	random       *rand.Rand
	connections  *connections
	addressIndex int
	requestCount int
}

func newCaller(s *session, settings Settings, history *audit.History, rec *recorder, number uint64) *caller {
	random := rand.New(rand.NewPCG(settings.Seed, number))
	id := connectParameters{customer: settings.Customer, database: s.database, session: s.name, prepared: settings.Prepared}
	return &caller{
		session: s, settings: settings, history: history, recorder: rec, random: random,
		connections: newConnections(id), addressIndex: random.IntN(len(settings.Addresses)),
	}
}

// runRequest carries out one request with its retries and records it.
func (c *caller) runRequest(ctx context.Context, r request) {
	c.switchIfDue()
	limited, cancel := context.WithTimeout(ctx, c.settings.RequestTimeout)
	defer cancel()
	started := time.Now()
	outcome := c.runAttempts(limited, r)
	if r.onFinished != nil {
		r.onFinished(outcome)
	}
	c.recorder.record(sample{
		class: r.class, database: c.session.database, isWrite: r.isWrite(), outcome: outcome,
		intendedStart: r.intendedStart, started: started, returned: time.Now(),
	})
}

// runAttempts repeats the request while that is safe and time is left.
func (c *caller) runAttempts(ctx context.Context, r request) audit.Outcome {
	pauses := newBackoff(c.random)
	keyed := c.newRequestRecord(r)
	for {
		invoked := c.history.Now()
		a := c.attempt(ctx, r, keyed.requestKey)
		outcome := keyed.addAttempt(a, invoked, c.history.Now())
		if outcome != audit.Acknowledged {
			c.recorder.recordRefusal(r.class, a.sqlState)
		}
		if a.connectionBroken || a.outcome == audit.NotRun {
			c.switchInstance()
		}
		if !keyed.mayRetry(a) || !pauses.wait(ctx) {
			keyed.addToHistory(c.history)
			return outcome
		}
	}
}

// attempt sends the request once.
func (c *caller) attempt(ctx context.Context, r request, key types.RequestKey) attemptResult {
	address := c.settings.Addresses[c.addressIndex]
	connection, err := c.connections.get(ctx, address)
	if err != nil {
		return classifyConnectError(err)
	}
	if key != "" {
		if _, err := connection.Exec(ctx, "SET pulley.request_key = '"+string(key)+"'"); err != nil {
			c.connections.drop(address)
			return classifyBeforeCommit(err)
		}
	}
	a := execute(ctx, connection, r)
	if a.connectionBroken || connection.IsClosed() {
		c.connections.drop(address)
	}
	return a
}

// switchIfDue moves to another instance after the number of requests that the settings say.
func (c *caller) switchIfDue() {
	c.requestCount++
	if c.settings.Roam > 0 && c.requestCount%c.settings.Roam == 0 {
		c.switchInstance()
	}
}

// switchInstance lets the next attempt use another instance.
func (c *caller) switchInstance() {
	if n := len(c.settings.Addresses); n > 1 {
		c.addressIndex = (c.addressIndex + 1 + c.random.IntN(n-1)) % n
	}
}
