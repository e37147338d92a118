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

// routed is a transaction's stream that moves to another instance while its first batch is refused for want of an owner.
type routed struct {
	router *router
	ctx    context.Context
	begin  *wire.Begin
	until  time.Time
	pause  time.Duration

	mu     sync.Mutex
	stream peers.Stream
	at     types.InstanceID
	// sent holds the frames to send again elsewhere; it is given up once an answer came.
	sent     []*wire.Frame
	answered bool
	deadline time.Time
	closed   bool
}

// Send sends a frame to the owner.
func (s *routed) Send(f *wire.Frame) error {
	s.mu.Lock()
	if !s.answered {
		s.sent = append(s.sent, f)
	}
	stream := s.stream
	s.mu.Unlock()
	return stream.Send(f)
}

// Receive returns the next frame of the owner, after looking for another owner when the first one refused.
func (s *routed) Receive() (*wire.Frame, error) {
	for {
		s.mu.Lock()
		stream := s.stream
		s.mu.Unlock()
		f, err := stream.Receive()
		if err != nil {
			s.router.forget(types.DatabaseID(s.begin.GetDatabase()), s.at)
			return nil, err
		}
		if !s.refusedForOwner(f) {
			s.settle()
			return f, nil
		}
		if !s.moveOn(types.InstanceID(f.GetOutcome().GetRefusal().GetRedirect())) {
			return f, nil
		}
	}
}

// SetDeadline bounds Send and Receive.
func (s *routed) SetDeadline(deadline time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = deadline
	return s.stream.SetDeadline(deadline)
}

// Close ends the transaction.
func (s *routed) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.stream.Close()
}

// refusedForOwner reports whether the transaction was refused by an instance that does not own the database.
func (s *routed) refusedForOwner(f *wire.Frame) bool {
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

func (s *routed) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answered {
		s.answered = true
		s.sent = nil
		s.router.remember(types.DatabaseID(s.begin.GetDatabase()), s.at)
	}
}

// moveOn sends what was sent so far to another instance; it returns false when the time is over.
func (s *routed) moveOn(redirect types.InstanceID) bool {
	s.router.forget(types.DatabaseID(s.begin.GetDatabase()), s.at)
	if redirect == s.at || redirect == "" {
		if !s.rest() {
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

// rest pauses before the next attempt; it returns false when the time is over.
func (s *routed) rest() bool {
	if time.Now().Add(s.pause).After(s.until) {
		return false
	}
	timer := time.NewTimer(s.pause)
	defer timer.Stop()
	s.pause = min(2*s.pause, routePauseMax)
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// connect opens a stream at the wanted instance, or at the likeliest, and sends what was sent before.
func (s *routed) connect(wanted types.InstanceID) error {
	if wanted == "" {
		if id, ok := s.router.hinted(types.DatabaseID(s.begin.GetDatabase())); ok && s.connectTo(id) {
			return nil
		}
	}
	for !s.isClosed() {
		for _, id := range s.next(wanted) {
			if s.connectTo(id) {
				return nil
			}
		}
		wanted = ""
		if !s.rest() {
			break
		}
	}
	return errNoOwnerInTime()
}

func (s *routed) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// next returns the instances to try in this round.
func (s *routed) next(wanted types.InstanceID) []types.InstanceID {
	if wanted != "" {
		return []types.InstanceID{wanted}
	}
	return s.router.candidates(types.DatabaseID(s.begin.GetDatabase()))
}

func (s *routed) connectTo(id types.InstanceID) bool {
	stream, err := s.router.open(s.ctx, id, s.begin)
	if err != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = stream.Close()
		return false
	}
	for _, f := range s.sent {
		if stream.Send(f) != nil {
			// The frames may have arrived, so this stream's failure ends the transaction instead of another attempt.
			break
		}
	}
	if !s.deadline.IsZero() {
		_ = stream.SetDeadline(s.deadline)
	}
	s.stream = stream
	s.at = id
	s.router.trails.Add(types.RequestID(s.begin.GetRequestId()), trace.Event{Step: trace.Routed, Peer: id})
	return true
}
