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

// sighting is what a member said of itself when it was asked.
type sighting struct {
	member routes.Member
	status stmt.MemberStatus
	// applied is the position of its log that reads see.
	applied types.LogPosition
	asked   clock.Moment
	err     error
}

// probe asks the member over a fresh connection, since open ones may have gone silent, and keeps the connection.
func (g *Group) probe(ctx context.Context, m routes.Member, question stmt.Statement) sighting {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	seen := sighting{member: m, asked: g.settings.Clock.Now()}
	p := g.pool(m.Target)
	if p == nil {
		seen.err = errPoolClosed
		return seen
	}
	c, err := p.dial(ctx)
	if seen.err = err; seen.busy() {
		// The member is alive and takes no further connection; an idle one tells as much unless it has gone silent.
		c = p.take(nil)
	}
	if c == nil {
		return seen
	}
	g.ask(&seen, p, c, question)
	return seen
}

// glance asks the member over an idle connection when there is one.
func (g *Group) glance(ctx context.Context, m routes.Member) sighting {
	p := g.pool(m.Target)
	if p == nil {
		return sighting{member: m, err: errPoolClosed}
	}
	c := p.take(nil)
	if c == nil {
		return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
	}
	seen := sighting{member: m, asked: g.settings.Clock.Now()}
	g.ask(&seen, p, c, stmt.Statement{Kind: stmt.Status})
	if seen.err == nil {
		return seen
	}
	p.condemn()
	return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
}

// ask asks over the connection and gives it back to its pool, which closes it after a failure.
func (g *Group) ask(seen *sighting, p *pool, c *pooled, question stmt.Statement) {
	seen.status, seen.applied, seen.err = AskStatus(g.settings.Dialer, c.conn, time.Now().Add(probeTimeout), question)
	c.broken = c.broken || seen.err != nil
	p.put(c)
}

// AskStatus asks a member a question that it answers with its status, and returns where the log that its reads see
// ends. A member without a free slot is alive: it is reported as errBusy with that position.
func AskStatus(
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

// busy reports whether the member is alive but took neither a connection nor the question at the moment.
func (s sighting) busy() bool {
	var r Refused
	return errors.Is(s.err, errBusy) ||
		errors.As(s.err, &r) && (r.Code == stmt.TooManyConnections || r.Code == stmt.Overloaded)
}

// probeAll asks all members at once.
func (g *Group) probeAll(ctx context.Context, members []routes.Member) []sighting {
	seen := make([]sighting, len(members))
	var asking sync.WaitGroup
	for i, m := range members {
		asking.Go(func() { seen[i] = g.probe(ctx, m, stmt.Statement{Kind: stmt.Status}) })
	}
	asking.Wait()
	return seen
}

// describeSightings says what each member told of its log, or why not.
func describeSightings(seen []sighting) []string {
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
