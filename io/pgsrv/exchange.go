package pgsrv

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// answerMargin is added to the time that a request may take before the proxy gives its answer up.
	answerMargin = 2 * time.Second
	// outcomeWait bounds the wait for an outcome that follows the answer.
	outcomeWait = time.Second
)

// exchange is one open transaction: a stream to the owner and the answers that it owes.
type exchange struct {
	caller    *caller
	stream    Stream
	requestID types.RequestID
	report    Transaction // filled in when the transaction is over
	timeout   time.Duration
	sending   sync.Mutex
	finished  chan struct{}

	mutex     sync.Mutex
	state     exchangeState
	current   *answer // of the batch in flight
	sent      bool    // a part of the batch in flight may have reached the owner
	status    byte    // last status that the target reported
	fault     *fault.Fault
	outcome   *wire.Outcome
	closing   bool
	abandoned bool
}

// newExchange starts relaying the answers of a stream to the caller.
func newExchange(c *caller, stream Stream, begin *wire.Begin, start time.Time) *exchange {
	x := &exchange{
		caller:    c,
		stream:    stream,
		requestID: types.RequestID(begin.GetRequestId()),
		report:    c.describe(types.RequestID(begin.GetRequestId()), start),
		timeout:   time.Duration(begin.GetTimeoutMs())*time.Millisecond + answerMargin,
		finished:  make(chan struct{}),
		status:    statusIdle,
	}
	c.relays.Add(1)
	go func() {
		defer c.relays.Done()
		defer close(x.finished)
		defer x.finish()
		x.relay()
	}()
	return x
}

// send sends a part of a batch; it returns the fault of a transaction that ended before the batch began.
func (x *exchange) send(a *answer, p part) *fault.Fault {
	if f, proceed := x.expect(a, p); !proceed {
		return f
	}
	if err := x.transmitAll(pieces(p.payload, submitBytes), p.end); err != nil {
		x.lose("sending to the owner failed: " + err.Error())
	}
	return nil
}

// expect notes what the owner will owe, and reports whether there is still an owner to send to.
func (x *exchange) expect(a *answer, p part) (*fault.Fault, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.state == exchangeLost {
		return x.fault, false
	}
	if a.failed && p.end {
		x.conclude(a, reply{})
	}
	if x.state == exchangeOver {
		return nil, false
	}
	if x.current != a {
		x.current, x.sent = a, false
	}
	a.parses = append(a.parses, p.parses...)
	a.text = p.text
	a.synced = p.end
	return nil, !a.failed
}

func (x *exchange) transmitAll(payloads [][]byte, end bool) error {
	for i, payload := range payloads {
		last := i == len(payloads)-1
		frame := &wire.Frame{RequestId: uint64(x.requestID), Payload: payload, BatchEnd: end && last}
		if err := x.transmit(frame); err != nil {
			return err
		}
	}
	return nil
}

func (x *exchange) transmit(frame *wire.Frame) error {
	x.sending.Lock()
	defer x.sending.Unlock()
	if err := x.stream.SetDeadline(time.Now().Add(x.timeout)); err != nil {
		return err
	}
	err := x.stream.Send(frame)
	if errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	x.mutex.Lock()
	x.sent = true
	x.mutex.Unlock()
	return err
}

// cancel asks the owner to cancel the running statement and reports whether there is one.
func (x *exchange) cancel() bool {
	x.mutex.Lock()
	running := x.current != nil && x.state == exchangeOpen
	x.mutex.Unlock()
	if !running {
		return false
	}
	x.sending.Lock()
	defer x.sending.Unlock()
	return x.stream.Send(&wire.Frame{RequestId: uint64(x.requestID), Cancel: true}) == nil
}

// fail ends the transaction with a fault and tells the caller when it waits for an answer.
func (x *exchange) fail(f *fault.Fault) {
	var r reply
	r.fault(severityError, f, x.caller.server.where(x.requestID))
	x.end(f, r)
}

// end ends the transaction with an encoded error.
func (x *exchange) end(f *fault.Fault, r reply) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.state != exchangeOpen || x.closing {
		return
	}
	x.fault = f
	x.state = exchangeLost
	defer x.caller.answered()
	a := x.current
	if a == nil {
		return
	}
	x.caller.server.count(f)
	a.failed = true
	if a.synced {
		x.conclude(a, r)
		return
	}
	x.state = exchangeFailed
	_ = x.caller.write(r.data)
}

// conclude tells the caller that a failed batch is over.
func (x *exchange) conclude(a *answer, r reply) {
	a.status = x.status
	if a.status == statusBlock {
		a.status = statusFailed
	}
	x.state = exchangeOver
	x.current = nil
	r.ready(a.status)
	_ = x.caller.write(r.data)
	close(a.done)
}

// inBlock reports whether a transaction block was open when the last batch ended.
func (x *exchange) inBlock() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.status != statusIdle
}

// isLost reports whether the transaction failed between two batches.
func (x *exchange) isLost() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state == exchangeLost
}

// isOver reports whether the caller knows that the transaction has ended.
func (x *exchange) isOver() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state == exchangeOver
}

// close ends a transaction that is no longer wanted and waits until nothing more is relayed.
func (x *exchange) close(abandoned bool) {
	x.mutex.Lock()
	x.closing = true
	x.abandoned = abandoned && x.state != exchangeOver
	x.mutex.Unlock()
	x.closeStream()
	<-x.finished
}

// closeStream closes the stream and wakes whoever waits on it.
func (x *exchange) closeStream() {
	_ = x.stream.Close()
	_ = x.stream.SetDeadline(time.Now())
}

// finish tells the observer about the transaction.
func (x *exchange) finish() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.current != nil && x.state != exchangeFailed {
		close(x.current.done)
		x.current = nil
		x.caller.answered()
	}
	if x.abandoned {
		x.caller.server.counters.Abandoned.Add(1)
	}
	t := x.report
	t.Latency = time.Since(t.Start)
	t.Fault = x.fault
	t.Abandoned = x.abandoned
	t.Target = types.TargetID(x.outcome.GetTarget())
	t.Replica = x.outcome.GetReplica()
	t.Attempts = int(x.outcome.GetAttempts())
	x.caller.server.settings.Observe(t)
}
