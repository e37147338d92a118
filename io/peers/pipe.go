package peers

import (
	"io"
	"os"
	"sync"
	"time"

	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// pipeCapacity is the largest number of frames that a pipe buffers in each direction.
const pipeCapacity = 16

// pipe is one end of a stream within the process.
type pipe struct {
	requestID  types.RequestID
	counters   *Counters
	incoming   <-chan *wire.Frame
	outgoing   chan<- *wire.Frame
	closeOnce  sync.Once
	closed     chan struct{}
	peerClosed <-chan struct{}
	deadline   *deadline
}

// Pipe returns the two ends of a stream within the process, for transactions whose owner is the instance that the
// caller is connected to.
func Pipe(requestID types.RequestID) (Stream, Stream) { return newPipe(requestID, &Counters{}) }

func newPipe(requestID types.RequestID, counters *Counters) (Stream, Stream) {
	forward, backward := make(chan *wire.Frame, pipeCapacity), make(chan *wire.Frame, pipeCapacity)
	a := &pipe{
		requestID: requestID, counters: counters, incoming: backward, outgoing: forward,
		closed: make(chan struct{}), deadline: newDeadline(),
	}
	b := &pipe{
		requestID: requestID, counters: counters, incoming: forward, outgoing: backward,
		closed: make(chan struct{}), deadline: newDeadline(),
	}
	a.peerClosed, b.peerClosed = b.closed, a.closed
	return a, b
}

// Send passes the frame to the other end; it waits while the buffer is full.
func (p *pipe) Send(frame *wire.Frame) error {
	if err := p.checkFrame(frame); err != nil {
		return err
	}
	expired := p.deadline.done()
	select {
	case <-p.closed:
		return io.ErrClosedPipe
	case <-p.peerClosed:
		return io.ErrClosedPipe
	case <-expired:
		return os.ErrDeadlineExceeded
	default:
	}
	select {
	case p.outgoing <- frame:
		return nil
	case <-p.closed:
		return io.ErrClosedPipe
	case <-p.peerClosed:
		return io.ErrClosedPipe
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// Receive waits for the next frame from the other end.
func (p *pipe) Receive() (*wire.Frame, error) {
	select {
	case frame := <-p.incoming:
		return p.checkReceived(frame)
	default:
	}
	select {
	case frame := <-p.incoming:
		return p.checkReceived(frame)
	case <-p.closed:
		return nil, io.ErrClosedPipe
	case <-p.peerClosed:
		return p.receiveRemaining()
	case <-p.deadline.done():
		return nil, os.ErrDeadlineExceeded
	}
}

// SetDeadline bounds Send and Receive.
func (p *pipe) SetDeadline(deadline time.Time) error {
	p.deadline.set(deadline)
	return nil
}

// Close closes the stream.
func (p *pipe) Close() error {
	p.closeOnce.Do(func() {
		close(p.closed)
		p.deadline.set(time.Time{})
	})
	return nil
}

// receiveRemaining returns a frame that was sent before the other end closed, or io.EOF when none is left.
func (p *pipe) receiveRemaining() (*wire.Frame, error) {
	select {
	case frame := <-p.incoming:
		return p.checkReceived(frame)
	default:
		return nil, io.EOF
	}
}

func (p *pipe) checkReceived(frame *wire.Frame) (*wire.Frame, error) {
	if err := p.checkFrame(frame); err != nil {
		return nil, err
	}
	return frame, nil
}

func (p *pipe) checkFrame(frame *wire.Frame) error {
	if err := checkRequestID(frame, p.requestID, p.counters); err != nil {
		closeQuietly(p)
		return err
	}
	return nil
}
