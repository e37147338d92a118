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
	// answerMargin is how much longer than a request's time limit the proxy waits for the answer.
	answerMargin = 2 * time.Second
	// outcomeTimeout bounds the wait for an outcome that the owner sends after the answer.
	outcomeTimeout = time.Second
)

// transaction is an open transaction on a stream to the owner. The connection's goroutine sends batches; a second
// goroutine relays the answers.
type transaction struct {
	connection *connection
	stream     Stream
	requestID  types.RequestID
	report     TransactionReport // completed when the transaction ends
	timeout    time.Duration
	sendMutex  sync.Mutex
	finished   chan struct{} // closed when the relaying goroutine has ended

	mutex               sync.Mutex
	state               transactionState
	inFlight            *answer // to the batch in flight; nil when there is none
	mayHaveReachedOwner bool    // true when a part of the batch in flight may have arrived
	status              byte    // last transaction status that the target reported
	fault               *fault.Fault
	outcome             *wire.Outcome
	closing             bool // close has been called; later faults are not sent to the caller
	abandoned           bool // the caller's connection ended or a write to it failed while the transaction was open
}

// newTransaction starts a goroutine that relays answers from the stream to the caller.
func newTransaction(c *connection, stream Stream, begin *wire.Begin, start time.Time) *transaction {
	tx := &transaction{
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
		defer close(tx.finished)
		defer tx.finish()
		tx.relayAnswers()
	}()
	return tx
}

// sendPart sends a part of a batch to the owner. It returns a fault when the transaction failed before the batch.
func (tx *transaction) sendPart(a *answer, p batchPart) *fault.Fault {
	if f, proceed := tx.expectAnswer(a, p); !proceed {
		return f
	}
	if err := tx.sendPayloads(splitPayload(p.payload, batchPartBytes), p.end); err != nil {
		tx.handleOwnerLost("sending to the owner failed: " + err.Error())
	}
	return nil
}

// expectAnswer records the answer that a part of a batch requires and reports whether the part has to be sent. It returns
// the fault of a transaction that failed before the batch. If the batch has failed already, its last part completes the
// answer instead of being sent.
func (tx *transaction) expectAnswer(a *answer, p batchPart) (*fault.Fault, bool) {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	if tx.state == transactionLost {
		return tx.fault, false
	}
	if a.errorSent && p.end {
		tx.finishFailedBatch(a, reply{})
	}
	if tx.state == transactionAnswered {
		return nil, false
	}
	if tx.inFlight != a {
		tx.inFlight, tx.mayHaveReachedOwner = a, false
	}
	a.pendingParses = append(a.pendingParses, p.parses...)
	a.singleStatement = p.singleStatement
	a.endSent = p.end
	return nil, !a.errorSent
}

func (tx *transaction) sendPayloads(payloads [][]byte, end bool) error {
	for i, payload := range payloads {
		last := i == len(payloads)-1
		frame := &wire.Frame{RequestId: uint64(tx.requestID), Payload: payload, BatchEnd: end && last}
		if err := tx.sendFrame(frame); err != nil {
			return err
		}
	}
	return nil
}

func (tx *transaction) sendFrame(frame *wire.Frame) error {
	tx.sendMutex.Lock()
	defer tx.sendMutex.Unlock()
	if err := tx.stream.SetDeadline(time.Now().Add(tx.timeout)); err != nil {
		return err
	}
	err := tx.stream.Send(frame)
	if errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	tx.mutex.Lock()
	tx.mayHaveReachedOwner = true
	tx.mutex.Unlock()
	return err
}

// cancel asks the owner to cancel the running statement. It reports whether a statement was running and the
// request was sent.
func (tx *transaction) cancel() bool {
	tx.mutex.Lock()
	running := tx.inFlight != nil && tx.state == transactionOpen
	tx.mutex.Unlock()
	if !running {
		return false
	}
	tx.sendMutex.Lock()
	defer tx.sendMutex.Unlock()
	return tx.stream.Send(&wire.Frame{RequestId: uint64(tx.requestID), Cancel: true}) == nil
}

// fail ends the transaction with a fault, which is sent to the caller when a batch is in flight.
func (tx *transaction) fail(f *fault.Fault) {
	var r reply
	r.addFault(severityError, f, tx.connection.server.requestReference(tx.requestID))
	tx.endWithError(f, r)
}

// endWithError ends the transaction and sends the encoded error to the caller when a batch is in flight.
func (tx *transaction) endWithError(f *fault.Fault, r reply) {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	if tx.state != transactionOpen || tx.closing {
		return
	}
	tx.fault = f
	tx.state = transactionLost
	defer tx.connection.wakeIfAwaited()
	a := tx.inFlight
	if a == nil {
		return
	}
	tx.connection.server.countError(f)
	a.errorSent = true
	if a.endSent {
		tx.finishFailedBatch(a, r)
		return
	}
	tx.state = transactionFailed
	_ = tx.connection.write(r.data)
}

// finishFailedBatch completes the answer to a failed batch with ReadyForQuery; the mutex is held.
func (tx *transaction) finishFailedBatch(a *answer, r reply) {
	a.status = tx.status
	if a.status == statusInTransaction {
		a.status = statusFailedTransaction
	}
	tx.state = transactionAnswered
	tx.inFlight = nil
	r.addReady(a.status)
	_ = tx.connection.write(r.data)
	close(a.done)
}

// inBlock reports whether a transaction block was open when the last batch ended.
func (tx *transaction) inBlock() bool {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	return tx.status != statusIdle
}

// isLost reports whether the transaction has failed and the caller has not been sent an error.
func (tx *transaction) isLost() bool {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	return tx.state == transactionLost
}

// isAnswered reports whether the transaction has ended and the caller has been sent the whole answer.
func (tx *transaction) isAnswered() bool {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	return tx.state == transactionAnswered
}

// close closes the stream and waits until relaying has stopped. Abandoned means that the caller has disconnected.
func (tx *transaction) close(abandoned bool) {
	tx.mutex.Lock()
	tx.closing = true
	tx.abandoned = abandoned && tx.state != transactionAnswered
	tx.mutex.Unlock()
	tx.closeStream()
	<-tx.finished
}

// closeStream closes the stream and interrupts pending calls on it.
func (tx *transaction) closeStream() {
	_ = tx.stream.Close()
	_ = tx.stream.SetDeadline(time.Now())
}

// finish releases a goroutine that still waits for an answer and passes the report to Observe. In the state transactionFailed
// it leaves the answer open, because the last part of the batch completes it.
func (tx *transaction) finish() {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	if tx.inFlight != nil && tx.state != transactionFailed {
		close(tx.inFlight.done)
		tx.inFlight = nil
		tx.connection.wakeIfAwaited()
	}
	if tx.abandoned {
		tx.connection.server.counters.Abandoned.Add(1)
	}
	report := tx.report
	report.Latency = time.Since(report.Start)
	report.Fault = tx.fault
	report.Abandoned = tx.abandoned
	report.Target = types.TargetID(tx.outcome.GetTarget())
	report.Replica = tx.outcome.GetReplica()
	report.Attempts = int(tx.outcome.GetAttempts())
	tx.connection.server.settings.Observe(report)
}
