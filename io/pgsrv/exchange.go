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
	// outcomeTimeout bounds the wait for an outcome that follows the answer.
	outcomeTimeout = time.Second
)

// transaction is one open transaction: a stream to the owner and the answers that it owes.
type transaction struct {
	connection *connection
	stream     Stream
	requestID  types.RequestID
	report     TransactionReport // filled in when the transaction is over
	timeout    time.Duration
	sendMutex  sync.Mutex
	finished   chan struct{}

	mutex               sync.Mutex
	state               transactionState
	inFlight            *answer // of the batch in flight
	mayHaveReachedOwner bool    // a part of the batch in flight may have reached the owner
	status              byte    // last status that the target reported
	fault               *fault.Fault
	outcome             *wire.Outcome
	closing             bool
	abandoned           bool
}

// newTransaction starts relaying the answers of a stream to the caller.
func newTransaction(c *connection, stream Stream, begin *wire.Begin, start time.Time) *transaction {
	x := &transaction{
		connection: c,
		stream:     stream,
		requestID:  types.RequestID(begin.GetRequestId()),
		report:     c.newReport(types.RequestID(begin.GetRequestId()), start),
		timeout:    time.Duration(begin.GetTimeoutMs())*time.Millisecond + answerMargin,
		finished:   make(chan struct{}),
		status:     statusIdle,
	}
	c.relayGoroutines.Add(1)
	go func() {
		defer c.relayGoroutines.Done()
		defer close(x.finished)
		defer x.finish()
		x.relayAnswers()
	}()
	return x
}

// sendPart sends a part of a batch; it returns the fault of a transaction that ended before the batch began.
func (x *transaction) sendPart(a *answer, p batchPart) *fault.Fault {
	if f, proceed := x.expectAnswer(a, p); !proceed {
		return f
	}
	if err := x.sendPayloads(splitPayload(p.payload, batchPartBytes), p.end); err != nil {
		x.handleOwnerLost("sending to the owner failed: " + err.Error())
	}
	return nil
}

// expectAnswer notes what the owner will owe, and reports whether there is still an owner to send to.
func (x *transaction) expectAnswer(a *answer, p batchPart) (*fault.Fault, bool) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.state == transactionLost {
		return x.fault, false
	}
	if a.errorSent && p.end {
		x.finishFailedBatch(a, reply{})
	}
	if x.state == transactionAnswered {
		return nil, false
	}
	if x.inFlight != a {
		x.inFlight, x.mayHaveReachedOwner = a, false
	}
	a.pendingParses = append(a.pendingParses, p.parses...)
	a.singleStatement = p.singleStatement
	a.endSent = p.end
	return nil, !a.errorSent
}

func (x *transaction) sendPayloads(payloads [][]byte, end bool) error {
	for i, payload := range payloads {
		last := i == len(payloads)-1
		frame := &wire.Frame{RequestId: uint64(x.requestID), Payload: payload, BatchEnd: end && last}
		if err := x.sendFrame(frame); err != nil {
			return err
		}
	}
	return nil
}

func (x *transaction) sendFrame(frame *wire.Frame) error {
	x.sendMutex.Lock()
	defer x.sendMutex.Unlock()
	if err := x.stream.SetDeadline(time.Now().Add(x.timeout)); err != nil {
		return err
	}
	err := x.stream.Send(frame)
	if errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	x.mutex.Lock()
	x.mayHaveReachedOwner = true
	x.mutex.Unlock()
	return err
}

// cancel asks the owner to cancel the running statement and reports whether there is one.
func (x *transaction) cancel() bool {
	x.mutex.Lock()
	running := x.inFlight != nil && x.state == transactionOpen
	x.mutex.Unlock()
	if !running {
		return false
	}
	x.sendMutex.Lock()
	defer x.sendMutex.Unlock()
	return x.stream.Send(&wire.Frame{RequestId: uint64(x.requestID), Cancel: true}) == nil
}

// fail ends the transaction with a fault and tells the caller when it waits for an answer.
func (x *transaction) fail(f *fault.Fault) {
	var r reply
	r.addFault(severityError, f, x.connection.server.requestReference(x.requestID))
	x.endWithError(f, r)
}

// endWithError ends the transaction with an encoded error.
func (x *transaction) endWithError(f *fault.Fault, r reply) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.state != transactionOpen || x.closing {
		return
	}
	x.fault = f
	x.state = transactionLost
	defer x.connection.wakeIfAwaited()
	a := x.inFlight
	if a == nil {
		return
	}
	x.connection.server.countError(f)
	a.errorSent = true
	if a.endSent {
		x.finishFailedBatch(a, r)
		return
	}
	x.state = transactionFailed
	_ = x.connection.write(r.data)
}

// finishFailedBatch tells the caller that a failed batch is over.
func (x *transaction) finishFailedBatch(a *answer, r reply) {
	a.status = x.status
	if a.status == statusInTransaction {
		a.status = statusFailedTransaction
	}
	x.state = transactionAnswered
	x.inFlight = nil
	r.addReady(a.status)
	_ = x.connection.write(r.data)
	close(a.done)
}

// inBlock reports whether a transaction block was open when the last batch ended.
func (x *transaction) inBlock() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.status != statusIdle
}

// isLost reports whether the transaction failed between two batches.
func (x *transaction) isLost() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state == transactionLost
}

// isAnswered reports whether the caller knows that the transaction has ended.
func (x *transaction) isAnswered() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state == transactionAnswered
}

// close ends a transaction that is no longer wanted and waits until nothing more is relayed.
func (x *transaction) close(abandoned bool) {
	x.mutex.Lock()
	x.closing = true
	x.abandoned = abandoned && x.state != transactionAnswered
	x.mutex.Unlock()
	x.closeStream()
	<-x.finished
}

// closeStream closes the stream and wakes whoever waits on it.
func (x *transaction) closeStream() {
	_ = x.stream.Close()
	_ = x.stream.SetDeadline(time.Now())
}

// finish tells the observer about the transaction.
func (x *transaction) finish() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.inFlight != nil && x.state != transactionFailed {
		close(x.inFlight.done)
		x.inFlight = nil
		x.connection.wakeIfAwaited()
	}
	if x.abandoned {
		x.connection.server.counters.Abandoned.Add(1)
	}
	t := x.report
	t.Latency = time.Since(t.Start)
	t.Fault = x.fault
	t.Abandoned = x.abandoned
	t.Target = types.TargetID(x.outcome.GetTarget())
	t.Replica = x.outcome.GetReplica()
	t.Attempts = int(x.outcome.GetAttempts())
	x.connection.server.settings.Observe(t)
}
