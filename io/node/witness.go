package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

const (
	// memberProbeTimeout bounds the opening of a connection to a member on behalf of another instance and its status query
	// together. It ends before the other instance stops waiting, after peerCallTimeout.
	memberProbeTimeout = 400 * time.Millisecond
	// maxWitnesses is the number of instances that are asked whether they reach a primary. When two thirds of the instances are
	// cut from it, at least one of eight reaches it in 96 of 100 cases.
	maxWitnesses = 8
)

// observation is the status of a member as another instance observed it.
type observation struct {
	instance types.InstanceID
	primary  bool
	term     types.Term
}

// findWitnesses asks up to maxWitnesses instances whether the member answers them as the primary of the term or a later one. The
// channel holds those that confirm it, in the order of their answers.
func (n *Node) findWitnesses(ctx context.Context, member routes.Member, term types.Term) <-chan types.InstanceID {
	asked := n.witnessCandidates(member)
	confirmed := make(chan types.InstanceID, len(asked))
	var calls sync.WaitGroup
	for _, instance := range asked {
		calls.Go(func() {
			if answer := n.askWitness(ctx, instance, member); answer.primary && answer.term >= term {
				confirmed <- answer.instance
			}
		})
	}
	n.goroutines.Go(func() {
		calls.Wait()
		close(confirmed)
	})
	return confirmed
}

// witnessCandidates returns the first maxWitnesses owner candidates of the member's database, those in the member's data centre
// before all others. Databases have different ones, so that not all are given to the same few instances.
func (n *Node) witnessCandidates(member routes.Member) []fleet.Instance {
	var candidates []fleet.Instance
	near := n.directory.ownerCandidates(member.Database, member.DataCentre)
	for _, instance := range append(slices.Clone(near), n.directory.ownerCandidates(member.Database, "")...) {
		known := slices.ContainsFunc(candidates, func(other fleet.Instance) bool { return other.ID == instance.ID })
		if len(candidates) < maxWitnesses && instance.ID != n.settings.Self.ID && !known {
			candidates = append(candidates, instance)
		}
	}
	return candidates
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
	}, "")
	if err != nil {
		return &wire.Probed{}
	}
	defer conn.Close()
	query := stmt.Statement{Kind: stmt.Status}
	deadline, _ := ctx.Deadline()
	status, _, err := group.QueryStatus(n.settings.Dialer, conn, deadline, query)
	if err != nil {
		return &wire.Probed{}
	}
	return &wire.Probed{Primary: status.Primary, Term: uint64(status.Term)}
}
