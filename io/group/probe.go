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
	if err != nil {
		seen.err = err
		return seen
	}
	g.ask(&seen, c, question)
	if seen.err != nil {
		p.drop(c)
		return seen
	}
	p.put(c)
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
	g.ask(&seen, c, stmt.Statement{Kind: stmt.Status})
	if seen.err == nil {
		p.put(c)
		return seen
	}
	p.drop(c)
	p.condemn()
	return g.probe(ctx, m, stmt.Statement{Kind: stmt.Status})
}

func (g *Group) ask(seen *sighting, c *pooled, question stmt.Statement) {
	replies, err := c.conn.Exchange(time.Now().Add(probeTimeout), question)
	if err != nil {
		seen.err = err
		return
	}
	r := replies[0]
	if r.Code == stmt.Overloaded {
		// A member without a free slot is alive; its connection tells where its log was.
		seen.err = errBusy
		seen.applied = r.Position
		return
	}
	if r.Code != stmt.OK || len(r.Rows) == 0 {
		seen.err = errors.Errorf("the member answered %s %s to a question for its status", r.Code, r.Text)
		return
	}
	seen.status, seen.err = g.settings.Dialer.ParseStatus(r.Rows[0])
	seen.applied = r.Position
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

// errBusy reports a member that is alive but has no slot for a question.
var errBusy = errors.New("the member has no slot for a question at the moment")
