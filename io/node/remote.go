package node

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/io/group"
	"turmericpulley/io/logs"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// answerMargin is how long after a statement's timeout the owner's answer may still arrive. The owner enforces the timeout
// itself.
const answerMargin = 150 * time.Millisecond

// remoteOwner connects a caller's session to an owner in another instance. It implements front.OwnerSession.
type remoteOwner struct {
	node     *Node
	channel  *peers.Channel
	instance types.InstanceID
	database types.DatabaseID
}

// Do sends one statement to the owner and waits for its answer.
func (r *remoteOwner) Do(request group.Request) (stmt.Reply, error) {
	began := r.node.settings.Clock.Now()
	reply, err := r.do(request)
	switch {
	case err == nil:
		r.node.recordServed(r.database, r.instance)
	case errors.Is(err, front.ErrNotSent):
	default:
		if errors.Is(err, front.ErrConnectionLost) {
			r.node.unresponsive.record(r.instance)
		}
		r.node.recordUnreached(r.database, began)
	}
	return reply, err
}

func (r *remoteOwner) do(request group.Request) (stmt.Reply, error) {
	timeout := request.Timeout
	if request.Rollback {
		timeout = peerCallTimeout
	}
	call := &wire.Call{Kind: &wire.Call_Work{Work: encodeWork(r.database, request)}}
	if request.Retryable() {
		wait := newAnswerWait(r.channel)
		defer wait.end()
	}
	reply, err := r.node.exchange(time.Now().Add(timeout+answerMargin), r.channel, call)
	if errors.Is(err, peers.ErrNotEncoded) {
		r.node.logger.Warn("request not sent to the owner", "request", logs.Text(request.Statement.ID), "owner", r.instance, "reason", err)
		return stmt.Failure(stmt.TooLarge, err.Error()), nil
	}
	if errors.Is(err, peers.ErrNotSent) {
		return stmt.Reply{}, errors.Wrap(front.ErrNotSent, err.Error())
	}
	if err != nil {
		return stmt.Reply{}, errors.Wrap(front.ErrConnectionLost, err.Error())
	}
	if reply.GetKind() == nil {
		return stmt.Reply{}, errors.Wrap(front.ErrNotSent, "the owner runs a version that does not know this kind of call")
	}
	answer := reply.GetWork()
	if answer == nil {
		return stmt.Reply{}, errors.Wrap(front.ErrConnectionLost, "the owner sent a reply of another kind")
	}
	if answer.GetNotOwner() {
		r.node.unresponsive.clear()
		return stmt.Reply{}, group.ErrNotOwner
	}
	return wire.DecodeReply(answer), nil
}

// Close ends the session at the owner, which rolls back its open transaction.
func (r *remoteOwner) Close() { r.channel.Close() }
