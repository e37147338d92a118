package server

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/peers"
	"turmericpulley/io/wire"
)

// routedStream is a transaction's stream to the owner. While the transaction's first batch is refused because the instance
// cannot serve the database, the stream is opened again to another instance.
type routedStream struct {
	router        *router
	ctx           context.Context
	begin         *wire.Begin
	routeDeadline time.Time
	retryDelay    time.Duration

	mu       sync.Mutex
	stream   peers.Stream
	instance types.InstanceID
	// replayFrames holds the frames to send again to another instance; it is nil once answered is set.
	replayFrames []*wire.Frame
	// answered is set at the first answer that is not a refusal by an instance that cannot serve the database.
	answered       bool
	streamDeadline time.Time
	closed         bool
}

// Send sends a frame to the owner.
func (s *routedStream) Send(f *wire.Frame) error {
	s.mu.Lock()
	if !s.answered {
		s.replayFrames = append(s.replayFrames, f)
	}
	stream := s.stream
	s.mu.Unlock()
	return stream.Send(f)
}

// Receive returns the owner's next frame. While instances refuse the transaction because they cannot serve the database, it
// sends the transaction to other instances.
func (s *routedStream) Receive() (*wire.Frame, error) {
	for {
		s.mu.Lock()
		stream := s.stream
		s.mu.Unlock()
		f, err := stream.Receive()
		if err != nil {
			s.router.clearHint(types.DatabaseID(s.begin.GetDatabase()), s.instance)
			return nil, err
		}
		if !s.refusedAsNotOwner(f) {
			s.recordAnswer()
			return f, nil
		}
		if !s.reroute(types.InstanceID(f.GetOutcome().GetRefusal().GetRedirect())) {
			return f, nil
		}
	}
}

// SetDeadline bounds Send and Receive.
func (s *routedStream) SetDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamDeadline = deadline
	return s.stream.SetDeadline(deadline)
}

// Close ends the transaction.
func (s *routedStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.stream.Close()
}

// refusedAsNotOwner reports whether the first answer is a refusal by an instance that cannot serve the database, so that
// nothing has run.
func (s *routedStream) refusedAsNotOwner(f *wire.Frame) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := f.GetOutcome().GetRefusal()
	if s.answered || refusal == nil || refusal.GetUnknown() {
		return false
	}
	switch fault.Kind(refusal.GetKind()) {
	case fault.NoOwner, fault.Isolated, fault.Stopping:
		return true
	default:
		return false
	}
}

// recordAnswer stores that the instance has answered: nothing is replayed from then on, and the instance becomes the hint.
func (s *routedStream) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answered {
		s.answered = true
		s.replayFrames = nil
		s.router.setHint(types.DatabaseID(s.begin.GetDatabase()), s.instance)
	}
}

// reroute opens the stream to another instance and replays the frames; it returns false when no instance was found in time.
func (s *routedStream) reroute(redirect types.InstanceID) bool {
	s.router.clearHint(types.DatabaseID(s.begin.GetDatabase()), s.instance)
	if redirect == s.instance || redirect == "" {
		if !s.waitBeforeRetry() {
			return false
		}
	}
	previous := s.stream
	if err := s.connect(redirect); err != nil {
		return false
	}
	_ = previous.Close()
	return true
}

// waitBeforeRetry waits before the next attempt; it returns false when the deadline or the context ends before.
func (s *routedStream) waitBeforeRetry() bool {
	if time.Now().Add(s.retryDelay).After(s.routeDeadline) {
		return false
	}
	timer := time.NewTimer(s.retryDelay)
	defer timer.Stop()
	s.retryDelay = min(2*s.retryDelay, maxRouteDelay)
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// connect opens a stream and replays the frames. It first tries the wanted instance, or the hinted one when none is wanted. It
// then tries the candidates until one can be reached or the time is over.
func (s *routedStream) connect(wanted types.InstanceID) error {
	if wanted == "" {
		if id, ok := s.router.hintedOwner(types.DatabaseID(s.begin.GetDatabase())); ok && s.connectTo(id) {
			return nil
		}
	}
	for !s.isClosed() {
		for _, id := range s.instancesToTry(wanted) {
			if s.connectTo(id) {
				return nil
			}
		}
		wanted = ""
		if !s.waitBeforeRetry() {
			break
		}
	}
	return errNoOwnerInTime()
}

func (s *routedStream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// instancesToTry returns the wanted instance, or all candidates when there is none.
func (s *routedStream) instancesToTry(wanted types.InstanceID) []types.InstanceID {
	if wanted != "" {
		return []types.InstanceID{wanted}
	}
	return s.router.candidates(types.DatabaseID(s.begin.GetDatabase()))
}

// connectTo opens a stream to one instance and replays the frames; it returns false when the instance cannot be reached.
func (s *routedStream) connectTo(id types.InstanceID) bool {
	stream, err := s.router.openAt(s.ctx, id, s.begin)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = stream.Close()
		return false
	}
	for _, f := range s.replayFrames {
		if stream.Send(f) != nil {
			// Some frames may have arrived, so the failure of this stream ends the transaction; nothing is tried again.
			break
		}
	}
	if !s.streamDeadline.IsZero() {
		_ = stream.SetDeadline(s.streamDeadline)
	}
	s.stream = stream
	s.instance = id
	s.router.recorder.Add(types.RequestID(s.begin.GetRequestId()), trace.Event{Step: trace.Routed, Peer: id})
	return true
}
