package group

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// observation is the status that a member reported of itself, or the error of the query.
type observation struct {
	member routes.Member
	status stmt.MemberStatus
	// applied is the last log position that the member's reads show.
	applied   types.LogPosition
	queriedAt clock.Moment
	err       error
}

// probe queries the member over a new connection, because open ones may no longer respond. The pool keeps the connection.
func (g *Group) probe(ctx context.Context, m routes.Member, query stmt.Statement) observation {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	observed := observation{member: m, queriedAt: g.settings.Clock.Now()}
	p := g.pool(m.Target)
	if p == nil {
		observed.err = errPoolClosed
		return observed
	}
	c, err := p.dial(ctx, "")
	if observed.err = err; observed.isBusy() {
		// The member is alive but accepts no further connection. An idle one serves as well if it still responds.
		c = p.takeAnyIdle()
	}
	if c == nil {
		return observed
	}
	g.queryStatus(&observed, p, c, query)
	return observed
}

// probeOnIdleConn queries the member over an idle connection, or over a new one when there is none or it fails.
func (g *Group) probeOnIdleConn(ctx context.Context, m routes.Member) observation {
	p := g.pool(m.Target)
	if p == nil {
		return observation{member: m, err: errPoolClosed}
	}
	c := p.takeAnyIdle()
	if c == nil {
		return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	}
	observed := observation{member: m, queriedAt: g.settings.Clock.Now()}
	g.queryStatus(&observed, p, c, stmt.Statement{Kind: stmt.Status})
	if observed.err == nil {
		return observed
	}
	p.closeIdle()
	return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
}

// queryStatus sends the query over the connection and returns the connection to its pool, which closes it after a failure.
func (g *Group) queryStatus(observed *observation, p *pool, c *pooledConn, query stmt.Statement) {
	observed.status, observed.applied, observed.err = c.conn.queryStatus(g.settings.Dialer, time.Now().Add(probeTimeout), query)
	c.broken = c.broken || observed.err != nil
	p.put(c)
}

// QueryStatus sends a member a statement that it answers with its status, and returns the status and the last log position
// that the member's reads show. A member without a free slot is alive: the error is errBusy, with that position.
func QueryStatus(
	d Dialer, c Conn, deadline time.Time, query stmt.Statement,
) (stmt.MemberStatus, types.LogPosition, error) {
	checked := newCheckedConn(c, routes.Member{}, 1, Settings{Clock: clock.Runtime(), Counters: &Counters{}, RequestLogger: hclog.NewNullLogger()})
	return checked.queryStatus(d, deadline, query)
}

// queryStatus is QueryStatus on a connection that may have answered other statements. A second answer to one of them would look like
// the status or like a refusal; the guard's answer is then out of place.
func (c *checkedConn) queryStatus(
	d Dialer, deadline time.Time, query stmt.Statement,
) (stmt.MemberStatus, types.LogPosition, error) {
	statements := []stmt.Statement{query}
	if c.answers.Answers() > 0 {
		statements = append(statements, guard())
	}
	replies, err := c.exchange(deadline, statements...)
	if err != nil {
		return stmt.MemberStatus{}, types.LogPosition{}, err
	}
	r := replies[0]
	if r.Code == stmt.Overloaded {
		return stmt.MemberStatus{}, r.Position, errBusy
	}
	if r.Code != stmt.OK || len(r.Rows) == 0 {
		return stmt.MemberStatus{}, types.LogPosition{},
			errors.Errorf("the member answered a status query with %s %s", r.Code, r.Text)
	}
	status, err := d.ParseStatus(r.Rows[0])
	return status, r.Position, err
}

// report returns what the member reported; it is meaningful only without an error.
func (o observation) report() hold.Report {
	return hold.Report{
		Target: o.member.Target, Primary: o.status.Primary, Term: o.status.Term, End: o.status.Received, StartedUnixMs: o.member.StartedUnixMs,
	}
}

// reportsOf returns the reports of the members that answered.
func reportsOf(observations []observation) []hold.Report {
	reports := make([]hold.Report, 0, len(observations))
	for _, o := range observations {
		if o.err == nil {
			reports = append(reports, o.report())
		}
	}
	return reports
}

// isBusy reports whether the member is alive but had no free connection or slot for the query.
func (o observation) isBusy() bool {
	var r RefusedError
	return errors.Is(o.err, errBusy) ||
		errors.As(o.err, &r) && (r.Code == stmt.TooManyConnections || r.Code == stmt.Overloaded)
}

// probeAll probes all members concurrently.
func (g *Group) probeAll(ctx context.Context, members []routes.Member) []observation {
	observations := make([]observation, len(members))
	var probes sync.WaitGroup
	for i, m := range members {
		probes.Go(func() { observations[i] = g.probe(ctx, m, stmt.Statement{Kind: stmt.Status}) })
	}
	probes.Wait()
	return observations
}

// describeObservations lists for a log line the end of each member's log, or why it is unknown.
func describeObservations(observations []observation) []string {
	descriptions := make([]string, 0, len(observations))
	for _, o := range observations {
		description := string(o.member.Target) + " " + o.status.Received.String()
		if o.err != nil {
			description = string(o.member.Target) + " " + o.err.Error()
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}

// errBusy means that a member is alive but has no free slot for a query.
var errBusy = errors.New("the member has no free slot for a query at the moment")
