package node

import (
	"context"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

// memberProbeTimeout bounds a question to a member on behalf of another instance.
const memberProbeTimeout = 300 * time.Millisecond

// observation is what an instance saw of a member.
type observation struct {
	instance types.InstanceID
	primary  bool
	term     types.Term
}

// findWitness asks a few instances, those in the member's data centre first, whether they see the member as primary.
func (n *Node) findWitness(ctx context.Context, member routes.Member, term types.Term) (types.InstanceID, bool) {
	var asked []fleet.Instance
	add := func(near bool) {
		for _, i := range n.directory.all() {
			if len(asked) < maxWitnesses && i.ID != n.settings.Self.ID && (i.DataCentre == member.DataCentre) == near {
				asked = append(asked, i)
			}
		}
	}
	add(true)
	add(false)
	answers := make(chan observation, len(asked))
	for _, i := range asked {
		n.goroutines.Go(func() { answers <- n.askWitness(ctx, i, member) })
	}
	for range asked {
		if a := <-answers; a.primary && a.term >= term {
			return a.instance, true
		}
	}
	return "", false
}

func (n *Node) askWitness(ctx context.Context, instance fleet.Instance, member routes.Member) observation {
	reply, err := n.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Probe{Probe: &wire.Probe{
		Database: string(member.Database), Target: string(member.Target), Address: member.Address,
	}}})
	if err != nil {
		return observation{}
	}
	return observation{instance.ID, reply.GetProbed().GetPrimary(), types.Term(reply.GetProbed().GetTerm())}
}

// serveProbe asks a member for its status on behalf of another instance.
func (n *Node) serveProbe(p *wire.Probe) *wire.Probed {
	ctx, cancel := context.WithTimeout(n.ctx, memberProbeTimeout)
	defer cancel()
	conn, err := n.settings.Dialer.Dial(ctx, routes.Member{
		Target: types.TargetID(p.GetTarget()), Database: types.DatabaseID(p.GetDatabase()), Address: p.GetAddress(),
	})
	if err != nil {
		return &wire.Probed{}
	}
	defer conn.Close()
	question := stmt.Statement{Kind: stmt.Status}
	status, _, err := group.QueryStatus(n.settings.Dialer, conn, time.Now().Add(memberProbeTimeout), question)
	if err != nil {
		return &wire.Probed{}
	}
	return &wire.Probed{Primary: status.Primary, Term: uint64(status.Term)}
}
