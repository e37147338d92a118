package peers

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// requestTimeout bounds the wait for the next request on an open stream.
	requestTimeout = 30 * time.Second
	// replyTimeout bounds the sending of a reply, in addition to proposalLifetime, which bounds the handling of a
	// request.
	replyTimeout = time.Second
)

// Handler serves a transaction that another instance forwarded. The stream is closed when it returns.
type Handler func(ctx context.Context, begin *wire.Begin, s Stream)

// server handles the requests of other instances.
type server struct {
	node        *node
	proposer    *proposer
	broadcaster *broadcaster
	handler     atomic.Pointer[Handler]
	ctx         context.Context
	cancel      context.CancelFunc
}

func newServer(n *node, p *proposer, b *broadcaster) *server {
	ctx, cancel := context.WithCancel(context.Background())
	return &server{node: n, proposer: p, broadcaster: b, ctx: ctx, cancel: cancel}
}

// serve handles the requests on a stream until it ends. A protocol violation closes the session.
func (s *server) serve(session *session, stream *yamux.Stream) {
	c := newCodec(stream, s.node.counters)
	for {
		if stream.SetReadDeadline(time.Now().Add(requestTimeout)) != nil {
			return
		}
		request := &wire.Request{}
		if err := c.read(request); err != nil {
			if f := fault.From(err); f != nil {
				closeQuietly(session)
			}
			return
		}
		if begin := request.GetBegin(); begin != nil {
			s.serveTransaction(session, stream, c, begin)
			return
		}
		if stream.SetWriteDeadline(time.Now().Add(proposalLifetime+replyTimeout)) != nil {
			return
		}
		if c.write(s.handle(request)) != nil {
			return
		}
	}
}

// serveTransaction passes a transaction to the handler, and refuses it while no handler is set.
func (s *server) serveTransaction(session *session, stream *yamux.Stream, c *codec, begin *wire.Begin) {
	if stream.SetDeadline(time.Time{}) != nil {
		return
	}
	s.node.counters.StreamsServed.Add(1)
	id := types.RequestID(begin.GetRequestId())
	remote := &remoteStream{conn: stream, codec: c, requestID: id, closeSession: func() { closeQuietly(session) }}
	if handler := s.handler.Load(); handler != nil {
		(*handler)(s.ctx, begin, remote)
		return
	}
	refusal := &wire.Refusal{Kind: string(fault.NoOwner), Detail: "the instance serves no transactions yet"}
	_ = remote.Send(&wire.Frame{RequestId: begin.GetRequestId(), Outcome: &wire.Outcome{Refusal: refusal}})
}

// handle carries out any request other than a Begin and returns the reply.
func (s *server) handle(request *wire.Request) *wire.Reply {
	switch kind := request.GetKind().(type) {
	case *wire.Request_Heartbeat:
		s.handleHeartbeat(kind.Heartbeat)
		return &wire.Reply{Kind: &wire.Reply_Heartbeat{Heartbeat: s.node.heartbeat()}}
	case *wire.Request_Join:
		return s.handleChange(fleet.Join{Instance: decodeInstance(kind.Join.GetInstance())})
	case *wire.Request_Leave:
		id, incarnation := types.InstanceID(kind.Leave.GetInstance()), fleet.Incarnation(kind.Leave.GetIncarnation())
		return s.handleChange(leaveChange(id, incarnation, kind.Leave.GetFinished()))
	case *wire.Request_FailureReport:
		return s.handleFailureReport(kind.FailureReport)
	case *wire.Request_Fetch:
		return &wire.Reply{Kind: &wire.Reply_Documents{Documents: s.node.missingDocuments(kind.Fetch)}}
	case *wire.Request_Push:
		if s.node.applyDocuments(kind.Push.GetDocuments()) {
			s.broadcaster.enqueue(kind.Push)
		}
		return doneReply()
	case *wire.Request_StatusQuery:
		return s.handleStatusQuery(kind.StatusQuery)
	default:
		s.node.counters.ProtocolViolations.Add(1)
		return refusalReply(fault.New(fault.ProtocolViolation, "the request is of an unknown kind"))
	}
}

// handleHeartbeat queues a fetch from the sender of a heartbeat when it holds newer documents.
func (s *server) handleHeartbeat(heartbeat *wire.Heartbeat) {
	if address, found := s.node.address(types.InstanceID(heartbeat.GetSender())); found {
		s.node.queueFetch(address, decodeHeartbeat(heartbeat))
	}
}

// handleChange has a change written to the membership and replies with the new membership or a refusal.
func (s *server) handleChange(change fleet.Change) *wire.Reply {
	if err := s.proposer.propose(s.ctx, change); err != nil {
		return refusalReply(err)
	}
	documents := &wire.Documents{}
	addMembership(documents, s.node.membership.current())
	return &wire.Reply{Kind: &wire.Reply_Documents{Documents: documents}}
}

func (s *server) handleFailureReport(report *wire.FailureReport) *wire.Reply {
	accepted := s.proposer.enqueue(failureReported{fleet.FailureReport{
		Reporter:    types.InstanceID(report.GetSender()),
		Failed:      types.InstanceID(report.GetFailed()),
		Incarnation: fleet.Incarnation(report.GetIncarnation()),
	}})
	if !accepted {
		return refusalReply(fault.New(fault.NoOwner, "too many changes of the membership are pending"))
	}
	return doneReply()
}

func (s *server) handleStatusQuery(query *wire.StatusQuery) *wire.Reply {
	inForce := s.node.documents.cache.InForce(query.GetKey(), types.Revision(query.GetRevision()))
	return &wire.Reply{Kind: &wire.Reply_Status{Status: &wire.Status{InForce: inForce}}}
}

func doneReply() *wire.Reply { return &wire.Reply{Kind: &wire.Reply_Done{Done: &wire.Done{}}} }

func refusalReply(err error) *wire.Reply {
	refusal := &wire.Refusal{Kind: string(fault.NoOwner), Detail: err.Error()}
	if f := fault.From(err); f != nil {
		refusal.Kind, refusal.Detail = string(f.Kind), f.Detail
	}
	return &wire.Reply{Kind: &wire.Reply_Refusal{Refusal: refusal}}
}
