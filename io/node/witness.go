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

// memberProbeTimeout bounds the opening of a connection to a member on behalf of another instance, and then the status query.
const memberProbeTimeout = 300 * time.Millisecond

// observation is the status of a member as another instance observed it.
type observation struct {
	instance types.InstanceID
	primary  bool
	term     types.Term
}

// findWitness asks up to maxWitnesses instances, those in the member's data centre first, whether the member answers them as
// the primary of the term or a later one. It returns the first that confirms it.
func (n *Node) findWitness(ctx context.Context, member routes.Member, term types.Term) (types.InstanceID, bool) {
	var asked []fleet.Instance
	add := func(sameDataCentre bool) {
		for _, instance := range n.directory.all() {
			if len(asked) < maxWitnesses && instance.ID != n.settings.Self.ID && (instance.DataCentre == member.DataCentre) == sameDataCentre {
				asked = append(asked, instance)
			}
		}
	}
	add(true)
	add(false)
	answers := make(chan observation, len(asked))
	for _, instance := range asked {
		n.goroutines.Go(func() { answers <- n.askWitness(ctx, instance, member) })
	}
	for range asked {
		if answer := <-answers; answer.primary && answer.term >= term {
			return answer.instance, true
		}
	}
	return "", false
}

// askWitness asks one instance for the status of a member; the zero observation means that it did not answer.
func (n *Node) askWitness(ctx context.Context, instance fleet.Instance, member routes.Member) observation {
	reply, err := n.call(ctx, instance.PeerAddress, &wire.Call{Kind: &wire.Call_Probe{Probe: &wire.Probe{
		Database: string(member.Database), Target: string(member.Target), Address: member.Address,
	}}})
	if err != nil {
		return observation{}
	}
	return observation{instance.ID, reply.GetProbed().GetPrimary(), types.Term(reply.GetProbed().GetTerm())}
}

// serveProbe queries a member's status on behalf of another instance, which may not reach the member itself.
func (n *Node) serveProbe(request *wire.Probe) *wire.Probed {
	ctx, cancel := context.WithTimeout(n.ctx, memberProbeTimeout)
	defer cancel()
	conn, err := n.settings.Dialer.Dial(ctx, routes.Member{
		Target: types.TargetID(request.GetTarget()), Database: types.DatabaseID(request.GetDatabase()), Address: request.GetAddress(),
	})
	if err != nil {
		return &wire.Probed{}
	}
	defer conn.Close()
	query := stmt.Statement{Kind: stmt.Status}
	status, _, err := group.QueryStatus(n.settings.Dialer, conn, time.Now().Add(memberProbeTimeout), query)
	if err != nil {
		return &wire.Probed{}
	}
	return &wire.Probed{Primary: status.Primary, Term: uint64(status.Term)}
}
