package node

import (
	"turmericpulley/core/budget"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

const (
	// workCopies is how often a large statement is in memory at the owner: as a message from the caller's instance, decoded, and as a
	// message to the member. answerCopies counts an answer as rows and as a message.
	workCopies   = 3
	answerCopies = 2
	// callCopies counts a large call before it is read: as bytes, decoded, and twice as a message to the member.
	callCopies = 4

	textOwnerFull = "the owner of the database has no room for a statement or an answer of this size now; come back in a second"
)

// remoteSession is the owner's side of a caller's session at another instance.
type remoteSession struct {
	node      *Node
	channel   *peers.Channel
	ownership *ownership
	session   *group.Session
	// ended is set when the session was ended for lack of room.
	ended bool
	// holder counts what the session holds; nil until it is more than ordinary statements need.
	holder *budget.Holder
}

// serveWork runs one statement of the remote session.
func (s *remoteSession) serveWork(message *wire.Work) *wire.WorkReply {
	database := types.DatabaseID(message.GetDatabase())
	current := s.node.ownerships.get(database)
	if s.session == nil && current != nil && !s.ended {
		s.ownership, s.session = current, current.group.NewSession()
	}
	// A session stays with the ownership under which it began while it has an open transaction, so that the transaction can end.
	if s.session == nil || current != s.ownership && !s.session.InTransaction() {
		return &wire.WorkReply{NotOwner: true}
	}
	request := decodeWork(message)
	if !s.hold(request) {
		s.end()
		return wire.EncodeReply(stmt.Failure(stmt.Overloaded, textOwnerFull))
	}
	reply, err := s.session.Do(request)
	if err != nil {
		return &wire.WorkReply{NotOwner: true}
	}
	return wire.EncodeReply(s.roomForAnswer(request.Statement, reply))
}

// roomForCall counts a large call before it is read, and reports whether there is room.
func (s *remoteSession) roomForCall(size int) bool {
	s.attach()
	s.holder.Progress(budget.Message)
	return s.holder.Take(budget.Message, budget.Bytes(callCopies*size))
}

// refuseCall returns the reply to a call that was not read. It may have been one with values, so the session ends.
func (s *remoteSession) refuseCall() *wire.CallReply {
	s.end()
	return &wire.CallReply{
		Configuration: s.node.configurationVersion(),
		Kind:          &wire.CallReply_Work{Work: wire.EncodeReply(stmt.Failure(stmt.Overloaded, textOwnerFull))},
	}
}

// hold counts what the request makes the owner hold, and reports whether there is room.
func (s *remoteSession) hold(request group.Request) bool {
	statement := len(request.Statement.Arguments) + len(request.Statement.Shape) + len(request.Statement.Value)
	values := 0
	for name, value := range request.Values {
		values += len(name) + len(value)
	}
	if s.holder == nil && max(statement, values) <= int(budget.FreeBytes) {
		return true
	}
	s.attach()
	s.holder.Work()
	if request.Values != nil && !s.holder.Take(budget.State, budget.Bytes(values)) {
		return false
	}
	return s.holder.Take(budget.Message, max(s.holder.Held(budget.Message), budget.Bytes(workCopies*statement)))
}

// roomForAnswer returns the reply, or a refusal when it is a large answer to a read for which there is no room.
func (s *remoteSession) roomForAnswer(statement stmt.Statement, r stmt.Reply) stmt.Reply {
	bytes := 0
	for _, row := range r.Rows {
		bytes += len(row)
	}
	if bytes <= int(budget.FreeBytes) {
		return r
	}
	s.attach()
	if s.holder.Take(budget.Answer, budget.Bytes(answerCopies*bytes)) || !statement.Reads() {
		return r
	}
	if s.session.InTransaction() {
		s.session.Close()
		return stmt.Failure(stmt.RolledBack, textOwnerFull)
	}
	return stmt.Failure(stmt.Overloaded, textOwnerFull)
}

// attach makes the instance's budget count the session. A channel is closed by a goroutine of its own, because that may wait for the other
// instance.
func (s *remoteSession) attach() {
	if s.holder == nil {
		s.holder = s.node.budget.Attach(func() { s.node.goroutines.Go(s.channel.Close) })
	}
}

// send sends the reply to a call, and gives back what the call held.
func (s *remoteSession) send(reply *wire.CallReply) error {
	if s.holder == nil {
		return s.channel.Send(reply)
	}
	s.holder.Take(budget.Message, 0)
	s.holder.Progress(budget.Answer)
	err := s.channel.Send(reply)
	s.holder.Take(budget.Answer, 0)
	if s.session != nil && s.session.InTransaction() {
		s.holder.Pause()
	} else {
		s.holder.Rest()
	}
	return err
}

// unsendableReply returns the reply in place of one that could not be encoded. The statement has run: what it read cannot be
// delivered, and whether a write outside a transaction or a commit is kept is not told.
func (s *remoteSession) unsendableReply(call *wire.Call, err error) *wire.CallReply {
	if call.GetWork() == nil {
		return &wire.CallReply{}
	}
	r := stmt.Failure(stmt.OutcomeUnknown, "the answer cannot be delivered: "+err.Error())
	if wire.DecodeStatement(call.GetWork().GetStatement()).Reads() {
		r.Code = stmt.Failed
	}
	if s.session != nil && s.session.InTransaction() {
		s.session.Close()
		r = stmt.Failure(stmt.RolledBack, r.Text)
	}
	return &wire.CallReply{Kind: &wire.CallReply_Work{Work: wire.EncodeReply(r)}}
}

// end ends the session, so that the caller's instance opens another one and sends the values again.
func (s *remoteSession) end() {
	if s.session != nil {
		s.session.Close()
	}
	s.session, s.ended = nil, true
}

func (s *remoteSession) close() {
	if s.session != nil {
		s.session.Close()
	}
	if s.holder != nil {
		s.holder.Close()
	}
}
