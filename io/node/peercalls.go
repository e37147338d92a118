package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericpulley/core/fleet"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/logs"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const (
	// peerCallTimeout bounds a call to another instance, which usually answers in a few milliseconds.
	peerCallTimeout = 500 * time.Millisecond
	// maxRelayPeers is the number of instances that are asked to relay a call to the store, or for the newest configuration.
	maxRelayPeers = 2
)

// call sends one call to another instance over a new channel and waits for the reply.
func (n *Node) call(ctx context.Context, address string, call *wire.Call) (*wire.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	channel, err := n.transport.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer channel.Close()
	deadline, _ := ctx.Deadline()
	return n.exchangePatiently(deadline, channel, call)
}

// channelOpenTimeout bounds the opening of a channel to an instance. It takes a network round trip when there is no session
// with the instance yet.
const channelOpenTimeout = 200 * time.Millisecond

// openChannel opens a channel to the instance within channelOpenTimeout.
func (n *Node) openChannel(ctx context.Context, to fleet.Instance) (*peers.Channel, error) {
	ctx, cancel := context.WithTimeout(ctx, channelOpenTimeout)
	defer cancel()
	return n.transport.Open(ctx, to.PeerAddress)
}

// exchange sends a call on an open channel and waits for the reply. Each carries the sender's configuration version.
func (n *Node) exchange(deadline time.Time, channel *peers.Channel, call *wire.Call) (*wire.CallReply, error) {
	return n.exchangeWith(deadline, channel, call, channel.Receive)
}

// exchangePatiently is exchange for replies that may be large: the deadline counts for the begin of the reply.
func (n *Node) exchangePatiently(deadline time.Time, channel *peers.Channel, call *wire.Call) (*wire.CallReply, error) {
	return n.exchangeWith(deadline, channel, call, func(reply proto.Message) error { return channel.ReceivePatiently(reply, peerCallTimeout) })
}

// exchangeWith is exchange with the way in which the reply is received.
func (n *Node) exchangeWith(
	deadline time.Time, channel *peers.Channel, call *wire.Call, receive func(proto.Message) error,
) (*wire.CallReply, error) {
	if err := channel.Conn().SetDeadline(deadline); err != nil {
		return nil, errors.Wrap(err, "setting a deadline")
	}
	call.Configuration, call.Sender = n.configurationVersion(), uint64(n.settings.Self.Incarnation)
	if err := channel.Send(call); err != nil {
		return nil, err
	}
	reply := &wire.CallReply{}
	if err := receive(reply); err != nil {
		return nil, errors.Wrap(err, "waiting for the reply of another instance")
	}
	n.noticeVersion(reply.GetConfiguration(), fleet.Incarnation(reply.GetSender()))
	return reply, nil
}

// noticeVersion fetches the configuration when another instance reports a newer version than this one has. One fetch runs at
// a time. An instance that has a configuration first waits for the version to arrive from the store's watch or a store reader. If it
// does not, it asks other instances, of which most have the version by then, and reads the store if they do not answer.
//
// An instance of another fleet may call, or answer, at an address that an instance of this one had. Its versions mean nothing here.
func (n *Node) noticeVersion(version int64, sender fleet.Incarnation) {
	if version > n.configurationVersion() && n.directory.isUnknown(sender) {
		n.logger.Debug("version of an unknown instance ignored", "version", version, "sender", uint64(sender))
		return
	}
	n.storeSync.proof.Notice(routes.Version(version))
	n.storeSync.backlog.Hear(routes.Version(version))
	if version <= n.configurationVersion() || !n.fetchingConfiguration.CompareAndSwap(false, true) {
		return
	}
	n.goroutines.Go(func() {
		defer n.fetchingConfiguration.Store(false)
		if n.configurationVersion() > 0 && n.storeSync.awaitVersion(n.ctx, version) {
			return
		}
		n.storeSync.fetchFromPeers(n.ctx)
		if n.configurationVersion() >= version {
			return
		}
		if i, found, err := n.directStore.Get(n.ctx, n.settings.Formats.ConfigurationKey); err == nil && found {
			n.storeSync.applyConfiguration(i, fromStore)
		}
	})
}

// otherAddresses returns at most count peer addresses of other instances: the known ones, beginning with the next after this
// one by id, then the seeds.
func (n *Node) otherAddresses(count int) []string {
	var addresses []string
	known := map[string]bool{n.settings.Self.PeerAddress: true}
	add := func(address string) {
		if !known[address] && len(addresses) < count {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	instances := n.directory.all()
	start := 0
	for i, instance := range instances {
		if instance.ID == n.settings.Self.ID {
			start = i
		}
	}
	for i := range instances {
		add(instances[(start+i)%len(instances)].PeerAddress)
	}
	for _, seed := range n.settings.Seeds {
		add(seed)
	}
	return addresses
}

// relayAddresses returns the peer addresses of maxRelayPeers other instances: first those through which the store was lately
// reached, then other ones with each call, since the store may refuse the ones of an earlier call too.
func (n *Node) relayAddresses() []string {
	others := n.otherAddresses(len(n.directory.all()) + len(n.settings.Seeds))
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	addresses := append(n.storeSync.served.addresses(n.settings.Clock.Now()), others...)
	var chosen []string
	for _, address := range addresses {
		if len(chosen) < maxRelayPeers && !slices.Contains(chosen, address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// relay sends calls to the store through other instances. It implements StoreCaller.
type relay struct {
	node *Node
}

// relayHedgeDelay is how long one instance may take to answer before the next one is asked as well.
const relayHedgeDelay = 120 * time.Millisecond

// relayResult is the answer of an instance that was asked to call the store.
type relayResult struct {
	address string
	answer  StoreAnswer
	err     error
}

// Call asks one instance, and the next one after relayHedgeDelay or an unusable answer. It does not ask all at once, since each
// call to the store has a cost. It returns the first usable answer.
func (r *relay) Call(ctx context.Context, call StoreCall) (StoreAnswer, error) {
	n := r.node
	addresses := n.relayAddresses()
	answers := make(chan relayResult, len(addresses))
	lastErr := errors.New("no other instance is known that could relay the call")
	asked, answered := 0, 0
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for answered < len(addresses) {
		select {
		case <-hedge.C:
			if asked < len(addresses) {
				address := addresses[asked]
				asked++
				n.goroutines.Go(func() { answers <- n.callThrough(ctx, address, call) })
				hedge.Reset(relayHedgeDelay)
			}
		case result := <-answers:
			answered++
			if status := result.answer.Status; result.err == nil && status != 0 && status != http.StatusServiceUnavailable {
				n.storeSync.served.record(result.address, n.settings.Clock.Now())
				return result.answer, nil
			}
			if result.err != nil {
				lastErr = result.err
			}
			hedge.Reset(0)
		}
	}
	return StoreAnswer{}, errors.Wrap(lastErr, "calling the store through other instances")
}

// callThrough asks the instance at the address to call the store.
func (n *Node) callThrough(ctx context.Context, address string, call StoreCall) relayResult {
	reply, err := n.call(ctx, address, &wire.Call{Kind: &wire.Call_StoreCall{StoreCall: &wire.StoreCall{
		Method: call.Method, Path: call.Path, Body: call.Body,
	}}})
	storeReply := reply.GetStoreReply()
	return relayResult{address, StoreAnswer{int(storeReply.GetStatus()), types.Era(storeReply.GetEra()), storeReply.GetBody()}, err}
}

// serveChannel handles the calls that another instance sends on one channel, until the channel ends.
func (n *Node) serveChannel(channel *peers.Channel) {
	session := &remoteSession{node: n, channel: channel}
	defer session.close()
	for {
		call := &wire.Call{}
		err := channel.ReceiveWithin(call, session.roomForCall)
		if errors.Is(err, peers.ErrNoRoom) {
			if session.send(session.refuseCall()) != nil {
				return
			}
			continue
		}
		if err != nil {
			return
		}
		n.noticeVersion(call.GetConfiguration(), fleet.Incarnation(call.GetSender()))
		reply := n.serveCall(session, call)
		reply.Configuration, reply.Sender = n.configurationVersion(), uint64(n.settings.Self.Incarnation)
		err = session.send(reply)
		if errors.Is(err, peers.ErrNotEncoded) {
			n.logger.Warn("reply not sent to another instance", "request", logs.Text(call.GetWork().GetStatement().GetId()), "reason", err)
			err = session.send(session.unsendableReply(call, err))
		}
		if err != nil {
			return
		}
	}
}

// serveCall handles one call; an unknown kind gets an empty reply.
func (n *Node) serveCall(session *remoteSession, call *wire.Call) *wire.CallReply {
	switch kind := call.GetKind().(type) {
	case *wire.Call_Work:
		return &wire.CallReply{Kind: &wire.CallReply_Work{Work: session.serveWork(kind.Work)}}
	case *wire.Call_StoreCall:
		return n.serveStoreCall(kind.StoreCall)
	case *wire.Call_Reach:
		return &wire.CallReply{Kind: &wire.CallReply_Reached{Reached: n.serveReach(kind.Reach)}}
	case *wire.Call_Fence:
		return &wire.CallReply{Kind: &wire.CallReply_Fenced{Fenced: &wire.Fenced{Done: n.ownerships.serveFence(kind.Fence)}}}
	case *wire.Call_Stopped:
		n.ownerships.receiveStopReport(kind.Stopped)
		return &wire.CallReply{Kind: &wire.CallReply_StopNoted{StopNoted: &wire.StopNoted{}}}
	case *wire.Call_Probe:
		return &wire.CallReply{Kind: &wire.CallReply_Probed{Probed: n.serveProbe(kind.Probe)}}
	case *wire.Call_Offer:
		return &wire.CallReply{Kind: &wire.CallReply_Offered{Offered: &wire.Offered{Able: n.ownerships.serveOffer(kind.Offer)}}}
	case *wire.Call_Arm:
		n.ownerships.receiveMembers(kind.Arm)
		return &wire.CallReply{Kind: &wire.CallReply_Armed{Armed: &wire.Armed{}}}
	case *wire.Call_Lend:
		return n.limits.serveLend(kind.Lend)
	case *wire.Call_Follow:
		return &wire.CallReply{Kind: &wire.CallReply_Followed{Followed: n.storeSync.serveFollow(kind.Follow, call.GetConfiguration())}}
	case *wire.Call_ConfigurationQuery:
		return &wire.CallReply{Kind: &wire.CallReply_ConfigurationValue{ConfigurationValue: n.storeSync.serveConfiguration(kind.ConfigurationQuery)}}
	case *wire.Call_MembersQuery:
		return &wire.CallReply{Kind: &wire.CallReply_MembersReading{MembersReading: n.memberEntries.serveMembers(kind.MembersQuery)}}
	default:
		return &wire.CallReply{}
	}
}

// serveStoreCall calls the store for another instance; status 0 means that the store did not answer.
func (n *Node) serveStoreCall(call *wire.StoreCall) *wire.CallReply {
	answer, err := n.store.CallDirectly(n.ctx, call.GetMethod(), call.GetPath(), call.GetBody())
	if err != nil {
		answer.Status = 0
	}
	return &wire.CallReply{Kind: &wire.CallReply_StoreReply{StoreReply: &wire.StoreReply{
		Status: uint32(answer.Status), Body: answer.Body, Era: uint64(answer.Era),
	}}}
}

// serveReach answers whether this instance reaches the named one; an empty name means this instance itself.
func (n *Node) serveReach(reach *wire.Reach) *wire.Reached {
	id := types.InstanceID(reach.GetInstance())
	if id == "" || id == n.settings.Self.ID {
		return &wire.Reached{Alive: true, Incarnation: uint64(n.settings.Self.Incarnation)}
	}
	instance, known := n.directory.instance(id)
	if !known {
		return &wire.Reached{}
	}
	return &wire.Reached{Alive: n.answersPing(n.ctx, instance)}
}
