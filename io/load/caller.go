package load

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// caller sends the requests of one session, one at a time.
type caller struct {
	session     *session
	settings    Settings
	history     *audit.History
	recorder    *recorder
	random      *rand.Rand
	connections *connections
	// addressIndex is the index in Settings.Addresses of the instance in use.
	addressIndex int
	requestCount int
}

// newCaller returns a caller with connections of its own. Settings.Seed and randomStream determine its random numbers.
func newCaller(s *session, settings Settings, history *audit.History, rec *recorder, randomStream uint64) *caller {
	random := rand.New(rand.NewPCG(settings.Seed, randomStream))
	parameters := connectParameters{customer: settings.Customer, database: s.database, session: s.name, prepared: settings.Prepared}
	return &caller{
		session: s, settings: settings, history: history, recorder: rec, random: random,
		connections: newConnections(parameters), addressIndex: random.IntN(len(settings.Addresses)),
	}
}

// runRequest sends one request, retries it if needed, and records it.
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

// runAttempts sends the request and retries it as long as that is safe and the context has not ended.
func (c *caller) runAttempts(ctx context.Context, r request) audit.Outcome {
	retryBackoff := newBackoff(c.random)
	record := c.newRequestRecord(r)
	for {
		invoked := c.history.Now()
		result := c.attempt(ctx, r, record.requestKey)
		outcome := record.addAttempt(result, invoked, c.history.Now())
		if outcome != audit.Acknowledged {
			c.recorder.recordUnacknowledgedAttempt(r.class, result.sqlState)
		}
		if result.connectionBroken || result.outcome == audit.NotRun {
			c.switchInstance()
		}
		if !record.mayRetry(result) || !retryBackoff.wait(ctx) {
			record.addToHistory(c.history)
			return outcome
		}
	}
}

// attempt sends the request once, with the request key if there is one.
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
	result := execute(ctx, connection, r)
	if result.connectionBroken || connection.IsClosed() {
		c.connections.drop(address)
	}
	return result
}

// switchIfDue counts the request and switches to another instance after every Settings.RequestsPerInstance requests.
func (c *caller) switchIfDue() {
	c.requestCount++
	if c.settings.RequestsPerInstance > 0 && c.requestCount%c.settings.RequestsPerInstance == 0 {
		c.switchInstance()
	}
}

// switchInstance picks another instance at random for the next attempt.
func (c *caller) switchInstance() {
	if n := len(c.settings.Addresses); n > 1 {
		c.addressIndex = (c.addressIndex + 1 + c.random.IntN(n-1)) % n
	}
}
