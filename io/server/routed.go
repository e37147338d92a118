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

// routedStream is a transaction's stream that moves to another instance while its first batch is refused for want of an owner.
type routedStream struct {
	router        *router
	ctx           context.Context
	begin         *wire.Begin
	routeDeadline time.Time
	retryDelay    time.Duration

	mu       sync.Mutex
	stream   peers.Stream
	instance types.InstanceID
	// replayFrames holds the frames to send again elsewhere; it is given up once an answer came.
	replayFrames   []*wire.Frame
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

// Receive returns the next frame of the owner, after looking for another owner when the first one refused.
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

// refusedAsNotOwner reports whether the transaction was refused by an instance that does not own the database.
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

func (s *routedStream) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answered {
		s.answered = true
		s.replayFrames = nil
		s.router.setHint(types.DatabaseID(s.begin.GetDatabase()), s.instance)
	}
}

// reroute sends what was sent so far to another instance; it returns false when the time is over.
func (s *routedStream) reroute(redirect types.InstanceID) bool {
	s.router.clearHint(types.DatabaseID(s.begin.GetDatabase()), s.instance)
	if redirect == s.instance || redirect == "" {
		if !s.waitBeforeRetry() {
			return false
		}
	}
	old := s.stream
	if err := s.connect(redirect); err != nil {
		return false
	}
	_ = old.Close()
	return true
}

// waitBeforeRetry pauses before the next attempt; it returns false when the time is over.
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

// connect opens a stream at the wanted instance, or at the likeliest, and sends what was sent before.
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

// instancesToTry returns the instances to try in this round.
func (s *routedStream) instancesToTry(wanted types.InstanceID) []types.InstanceID {
	if wanted != "" {
		return []types.InstanceID{wanted}
	}
	return s.router.candidates(types.DatabaseID(s.begin.GetDatabase()))
}

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
			// The frames may have arrived, so this stream's failure ends the transaction instead of another attempt.
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
