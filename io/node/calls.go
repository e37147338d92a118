package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const (
	// peerCallTimeout bounds a question to another instance, which answers in a few milliseconds.
	peerCallTimeout = 500 * time.Millisecond
	// maxRelayPeers is the number of instances that are asked to call the store.
	maxRelayPeers = 2
)

// call asks another instance one question.
func (n *Node) call(ctx context.Context, address string, call *wire.Call) (*wire.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	channel, err := n.transport.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer channel.Close()
	deadline, _ := ctx.Deadline()
	return n.exchange(deadline, channel, call)
}

// channelOpenTimeout bounds the opening of a channel to an instance, which takes a round trip when there is no session yet.
const channelOpenTimeout = 200 * time.Millisecond

// openChannel opens a channel to the instance, or gives up soon.
func (n *Node) openChannel(ctx context.Context, to fleet.Instance) (*peers.Channel, error) {
	ctx, cancel := context.WithTimeout(ctx, channelOpenTimeout)
	defer cancel()
	return n.transport.Open(ctx, to.PeerAddress)
}

// exchange sends a call on an open channel and waits for the answer; both carry the versions of the configuration.
func (n *Node) exchange(deadline time.Time, channel *peers.Channel, call *wire.Call) (*wire.CallReply, error) {
	if err := channel.Conn().SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "setting a deadline")
	}
	call.Configuration = n.configurationVersion()
	if err := channel.Send(call); err != nil {
		return nil, err
	}
	reply := &wire.CallReply{}
	if err := channel.Receive(reply); err != nil {
		return nil, errors.Wrap(err, "waiting for another instance")
	}
	n.noticeVersion(reply.GetConfiguration())
	return reply, nil
}

// noticeVersion notices that another instance has a newer configuration.
func (n *Node) noticeVersion(version int64) {
	if version <= n.configurationVersion() || !n.fetchingConfiguration.CompareAndSwap(false, true) {
		return
	}
	n.goroutines.Go(func() {
		defer n.fetchingConfiguration.Store(false)
		if n.storeSync.awaitVersion(n.ctx, version) {
			return
		}
		if i, found, err := n.store.Get(n.ctx, n.settings.Formats.Configuration); err == nil && found {
			n.storeSync.applyConfiguration(i)
			return
		}
		n.storeSync.fetchFromPeers(n.ctx)
	})
}

// otherAddresses returns addresses of other instances, seeds included.
func (n *Node) otherAddresses(count int) []string {
	var addresses []string
	known := map[string]bool{n.settings.Self.PeerAddress: true}
	add := func(address string) {
		if !known[address] && len(addresses) < count {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	all := n.directory.all()
	start := 0
	for i, instance := range all {
		if instance.ID == n.settings.Self.ID {
			start = i
		}
	}
	for i := range all {
		add(all[(start+i)%len(all)].PeerAddress)
	}
	for _, seed := range n.settings.Seeds {
		add(seed)
	}
	return addresses
}

// relay calls the store through other instances.
type relay struct {
	node *Node
}

// relayHedgeDelay is how long one instance may take before the next one is asked as well.
const relayHedgeDelay = 120 * time.Millisecond

// relayResult is what an instance that was asked to call the store answered.
type relayResult struct {
	status int
	body   []byte
	err    error
}

// Call asks instances one after the other, since each call of the store has its price, and takes the first usable
// answer.
func (r *relay) Call(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	n := r.node
	addresses := n.otherAddresses(maxRelayPeers)
	answers := make(chan relayResult, len(addresses))
	last := errors.New("no other instance is known that could call the store")
	asked, answered := 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for answered < len(addresses) {
		select {
		case <-hedge.C:
			if asked < len(addresses) {
				address := addresses[asked]
				asked++
				n.goroutines.Go(func() { answers <- n.callThrough(ctx, address, method, path, body) })
				hedge.Reset(relayHedgeDelay)
			}
		case a := <-answers:
			answered++
			if a.err == nil && a.status != 0 && a.status != http.StatusServiceUnavailable {
				return a.status, a.body, nil
			}
			if a.err != nil {
				last = a.err
			}
			hedge.Reset(0)
		}
	}
	return 0, nil, errors.Wrap(last, "calling the store through other instances")
}

// callThrough has the instance at the address call the store.
func (n *Node) callThrough(ctx context.Context, address, method, path string, body []byte) relayResult {
	reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_StoreCall{StoreCall: &wire.StoreCall{
		Method: method, Path: path, Body: body,
	}}})
	stored := reply.GetStoreReply()
	return relayResult{int(stored.GetStatus()), stored.GetBody(), err}
}

// serveChannel answers the calls of another instance on one channel.
func (n *Node) serveChannel(channel *peers.Channel) {
	visitor := &remoteSession{node: n}
	defer visitor.close()
	for {
		call := &wire.Call{}
		if channel.Receive(call) != nil {
			return
		}
		n.noticeVersion(call.GetConfiguration())
		reply := n.serveCall(visitor, call)
		reply.Configuration = n.configurationVersion()
		if channel.Send(reply) != nil {
			return
		}
	}
}

func (n *Node) serveCall(v *remoteSession, call *wire.Call) *wire.CallReply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Work:
		return &wire.CallReply{Kind: &wire.CallReply_Work{Work: v.serveWork(kind.Work)}}
	case *wire.Call_StoreCall:
		return n.serveStoreCall(kind.StoreCall)
	case *wire.Call_Reach:
		return &wire.CallReply{Kind: &wire.CallReply_Reached{Reached: n.serveReach(kind.Reach)}}
	case *wire.Call_Fence:
		done := n.ownerships.serveFence(types.DatabaseID(kind.Fence.GetDatabase()), types.Epoch(kind.Fence.GetEpoch()))
		return &wire.CallReply{Kind: &wire.CallReply_Fenced{Fenced: &wire.Fenced{Done: done}}}
	case *wire.Call_Probe:
		return &wire.CallReply{Kind: &wire.CallReply_Probed{Probed: n.serveProbe(kind.Probe)}}
	case *wire.Call_Offer:
		return &wire.CallReply{Kind: &wire.CallReply_Offered{Offered: &wire.Offered{Able: n.ownerships.serveOffer(kind.Offer)}}}
	case *wire.Call_Arm:
		n.ownerships.receiveMembers(kind.Arm)
		return &wire.CallReply{Kind: &wire.CallReply_Armed{Armed: &wire.Armed{}}}
	case *wire.Call_Follow:
		return &wire.CallReply{Kind: &wire.CallReply_Followed{Followed: n.storeSync.serveFollow(kind.Follow, call.GetConfiguration())}}
	case *wire.Call_ConfigurationQuery:
		return &wire.CallReply{Kind: &wire.CallReply_ConfigurationValue{ConfigurationValue: n.storeSync.configurationMessage()}}
	default:
		return &wire.CallReply{}
	}
}

func (n *Node) serveStoreCall(call *wire.StoreCall) *wire.CallReply {
	status, body, err := n.store.Serve(n.ctx, call.GetMethod(), call.GetPath(), call.GetBody())
	if err != nil {
		status = 0
	}
	return &wire.CallReply{Kind: &wire.CallReply_StoreReply{StoreReply: &wire.StoreReply{Status: uint32(status), Body: body}}}
}

// serveReach tells whether the instance answers from here; an empty name means this one.
func (n *Node) serveReach(reach *wire.Reach) *wire.Reached {
	id := types.InstanceID(reach.GetInstance())
	if id == "" || id == n.settings.Self.ID {
		return &wire.Reached{Alive: true, Incarnation: uint64(n.settings.Self.Incarnation)}
	}
	instance, known := n.directory.instance(id)
	if !known {
		return &wire.Reached{}
	}
	question := pinger{}
	defer question.close()
	_, alive := question.ping(n.ctx, n, instance.PeerAddress)
	return &wire.Reached{Alive: alive}
}
