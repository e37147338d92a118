package node

import (
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/front"
	"turmericpulley/io/group"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// answerMargin is how long after its limit a statement's answer may still arrive from the owner, which keeps the limit
// itself.
const answerMargin = 150 * time.Millisecond

// remoteOwner is a session's way to an owner in another instance.
type remoteOwner struct {
	node     *Node
	channel  *peers.Channel
	instance types.InstanceID
	database types.DatabaseID
}

// Do sends one statement to the owner and waits for the answer.
func (r *remoteOwner) Do(w group.Request) (stmt.Reply, error) {
	reply, err := r.do(w)
	if errors.Is(err, front.ErrConnectionLost) {
		r.node.unresponsive.record(r.instance)
	}
	return reply, err
}

func (r *remoteOwner) do(w group.Request) (stmt.Reply, error) {
	limit := w.Timeout
	if w.Rollback {
		limit = peerCallTimeout
	}
	call := &wire.Call{Kind: &wire.Call_Work{Work: encodeWork(r.database, w)}}
	reply, err := r.node.exchange(time.Now().Add(limit+answerMargin), r.channel, call)
	if err != nil {
		return stmt.Reply{}, errors.Wrap(front.ErrConnectionLost, err.Error())
	}
	answer := reply.GetWork()
	if answer == nil {
		return stmt.Reply{}, errors.Wrap(front.ErrConnectionLost, "the owner answered something else")
	}
	if answer.GetNotOwner() {
		r.node.unresponsive.clear()
		return stmt.Reply{}, group.ErrNotOwner
	}
	return decodeReply(answer), nil
}

// Close ends the session at the owner.
func (r *remoteOwner) Close() { r.channel.Close() }

// remoteSession is a session of another instance's caller.
type remoteSession struct {
	node      *Node
	ownership *ownership
	session   *group.Session
}

// serveWork runs one statement for the visitor.
func (v *remoteSession) serveWork(w *wire.Work) *wire.WorkReply {
	database := types.DatabaseID(w.GetDatabase())
	held := v.node.ownerships.get(database)
	if v.session == nil && held != nil {
		v.ownership, v.session = held, held.group.NewSession()
	}
	// A session stays with the ownership under which it began, so that its open transaction can end.
	if v.session == nil || held != v.ownership && !v.session.InTransaction() {
		return &wire.WorkReply{NotOwner: true}
	}
	reply, err := v.session.Do(decodeWork(w))
	if err != nil {
		return &wire.WorkReply{NotOwner: true}
	}
	return encodeReply(reply)
}

func (v *remoteSession) close() {
	if v.session != nil {
		v.session.Close()
	}
}
