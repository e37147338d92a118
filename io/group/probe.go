package group

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// observation is what a member said of itself when it was asked.
type observation struct {
	member routes.Member
	status stmt.MemberStatus
	// applied is the position of its log that reads see.
	applied   types.LogPosition
	queriedAt clock.Moment
	err       error
}

// probe asks the member over a fresh connection, since open ones may have gone silent, and keeps the connection.
func (g *Group) probe(ctx context.Context, m routes.Member, question stmt.Statement) observation {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	seen := observation{member: m, queriedAt: g.settings.Clock.Now()}
	p := g.pool(m.Target)
	if p == nil {
		seen.err = errPoolClosed
		return seen
	}
	c, err := p.dial(ctx)
	if seen.err = err; seen.isBusy() {
		// The member is alive and takes no further connection; an idle one tells as much unless it has gone silent.
		c = p.takeIdle(nil)
	}
	if c == nil {
		return seen
	}
	g.queryStatus(&seen, p, c, question)
	return seen
}

// probeOnIdleConn asks the member over an idle connection when there is one.
func (g *Group) probeOnIdleConn(ctx context.Context, m routes.Member) observation {
	p := g.pool(m.Target)
	if p == nil {
		return observation{member: m, err: errPoolClosed}
	}
	c := p.takeIdle(nil)
	if c == nil {
		return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	}
	seen := observation{member: m, queriedAt: g.settings.Clock.Now()}
	g.queryStatus(&seen, p, c, stmt.Statement{Kind: stmt.Status})
	if seen.err == nil {
		return seen
	}
	p.closeIdle()
	return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
}

// queryStatus asks over the connection and gives it back to its pool, which closes it after a failure.
func (g *Group) queryStatus(seen *observation, p *pool, c *pooledConn, question stmt.Statement) {
	seen.status, seen.applied, seen.err = QueryStatus(g.settings.Dialer, c.conn, time.Now().Add(probeTimeout), question)
	c.broken = c.broken || seen.err != nil
	p.put(c)
}

// QueryStatus asks a member a question that it answers with its status, and returns where the log that its reads see
// ends. A member without a free slot is alive: it is reported as errBusy with that position.
func QueryStatus(
	d Dialer, c Conn, deadline time.Time, question stmt.Statement,
) (stmt.MemberStatus, types.LogPosition, error) {
	replies, err := c.Exchange(deadline, question)
	if err != nil {
		return stmt.MemberStatus{}, types.LogPosition{}, err
	}
	r := replies[0]
	if r.Code == stmt.Overloaded {
		return stmt.MemberStatus{}, r.Position, errBusy
	}
	if r.Code != stmt.OK || len(r.Rows) == 0 {
		return stmt.MemberStatus{}, types.LogPosition{},
			errors.Errorf("the member answered %s %s to a question for its status", r.Code, r.Text)
	}
	status, err := d.ParseStatus(r.Rows[0])
	return status, r.Position, err
}

// isBusy reports whether the member is alive but took neither a connection nor the question at the moment.
func (s observation) isBusy() bool {
	var r RefusedError
	return errors.Is(s.err, errBusy) ||
		errors.As(s.err, &r) && (r.Code == stmt.TooManyConnections || r.Code == stmt.Overloaded)
}

// probeAll asks all members at once.
func (g *Group) probeAll(ctx context.Context, members []routes.Member) []observation {
	seen := make([]observation, len(members))
	var asking sync.WaitGroup
	for i, m := range members {
		asking.Go(func() { seen[i] = g.probe(ctx, m, stmt.Statement{Kind: stmt.Status}) })
	}
	asking.Wait()
	return seen
}

// describeObservations says what each member told of its log, or why not.
func describeObservations(seen []observation) []string {
	words := make([]string, 0, len(seen))
	for _, o := range seen {
		word := string(o.member.Target) + " " + o.status.Received.String()
		if o.err != nil {
			word = string(o.member.Target) + " " + o.err.Error()
		}
		words = append(words, word)
	}
	return words
}

// errBusy reports a member that is alive but has no slot for a question.
var errBusy = errors.New("the member has no slot for a question at the moment")
