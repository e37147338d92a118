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

// answerSlack is how long after its limit a statement's answer may still arrive from the owner, which keeps the limit
// itself.
const answerSlack = 150 * time.Millisecond

// remote is a session's way to an owner in another instance.
type remote struct {
	node     *Node
	channel  *peers.Channel
	instance types.InstanceID
	database types.DatabaseID
}

// Do sends one statement to the owner and waits for the answer.
func (r *remote) Do(w group.Work) (stmt.Reply, error) {
	reply, err := r.do(w)
	if errors.Is(err, front.ErrLost) {
		r.node.silent.note(r.instance)
	}
	return reply, err
}

func (r *remote) do(w group.Work) (stmt.Reply, error) {
	limit := w.Limit
	if w.Abandon {
		limit = peerTimeout
	}
	call := &wire.Call{Kind: &wire.Call_Work{Work: encodeWork(r.database, w)}}
	reply, err := r.node.exchange(time.Now().Add(limit+answerSlack), r.channel, call)
	if err != nil {
		return stmt.Reply{}, errors.Wrap(front.ErrLost, err.Error())
	}
	answer := reply.GetWork()
	if answer == nil {
		return stmt.Reply{}, errors.Wrap(front.ErrLost, "the owner answered something else")
	}
	if answer.GetNotOwner() {
		r.node.silent.clear()
		return stmt.Reply{}, group.ErrNotOwner
	}
	return decodeReply(answer), nil
}

// Close ends the session at the owner.
func (r *remote) Close() { r.channel.Close() }

// visitor is a session of another instance's caller.
type visitor struct {
	node    *Node
	held    *holding
	session *group.Session
}

// work runs one statement for the visitor.
func (v *visitor) work(w *wire.Work) *wire.WorkReply {
	database := types.DatabaseID(w.GetDatabase())
	held := v.node.holder.get(database)
	if v.session == nil && held != nil {
		v.held, v.session = held, held.group.NewSession()
	}
	// A session stays with the ownership under which it began, so that its open transaction can end.
	if v.session == nil || held != v.held && !v.session.InTransaction() {
		return &wire.WorkReply{NotOwner: true}
	}
	reply, err := v.session.Do(decodeWork(w))
	if err != nil {
		return &wire.WorkReply{NotOwner: true}
	}
	return encodeReply(reply)
}

func (v *visitor) close() {
	if v.session != nil {
		v.session.Close()
	}
}
