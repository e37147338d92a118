package pgsrv

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/io/wire"
)

var errUnexpectedAnswer = errors.New("an answer arrived while no batch was in flight")

// relayAnswers forwards the owner's answers to the caller until the transaction ends.
func (tx *transaction) relayAnswers() {
	defer tx.closeStream()
	for {
		frame, err := tx.stream.Receive()
		if err != nil {
			tx.handleOwnerLost("the stream to the owner ended: " + err.Error())
			return
		}
		if frame.GetRequestId() != uint64(tx.requestID) {
			tx.connection.server.counters.UnexpectedFrames.Add(1)
			tx.handleOwnerLost(fmt.Sprintf("received an answer to request %d on the stream of request %d", frame.GetRequestId(), tx.requestID))
			return
		}
		if !tx.handleFrame(frame) {
			return
		}
	}
}

// handleFrame handles a frame from the owner and reports whether more frames are expected.
func (tx *transaction) handleFrame(frame *wire.Frame) bool {
	tx.recordOutcome(frame.GetOutcome())
	if refusal := frame.GetOutcome().GetRefusal(); refusal != nil {
		tx.fail(refusalFault(refusal))
		return false
	}
	status, err := tx.deliver(frame.GetPayload())
	if err != nil {
		tx.connection.server.counters.UnexpectedFrames.Add(1)
		tx.handleOwnerLost("invalid answer from the owner: " + err.Error())
		return false
	}
	if status == statusIdle {
		tx.awaitOutcome()
		return false
	}
	return !tx.hasEnded()
}

// refusalFault converts a refusal from the owner to a fault.
func refusalFault(refusal *wire.Refusal) *fault.Fault {
	f := fault.New(fault.Kind(refusal.GetKind()), refusal.GetDetail())
	if refusal.GetUnknown() {
		f.Outcome = fault.Unknown
	}
	return f
}

func (tx *transaction) recordOutcome(outcome *wire.Outcome) {
	if outcome == nil {
		return
	}
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	tx.outcome = outcome
}

// hasEnded reports whether the transaction is no longer open.
func (tx *transaction) hasEnded() bool {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	return tx.state != transactionOpen
}

// deliver writes a payload to the caller. It returns the transaction status when the payload completes the answer, and zero
// otherwise.
func (tx *transaction) deliver(payload []byte) (byte, error) {
	if len(payload) == 0 {
		return 0, nil
	}
	tx.mutex.Lock()
	a := tx.inFlight
	if a == nil {
		tx.mutex.Unlock()
		if isAsynchronous(payload) {
			return 0, nil
		}
		return 0, errUnexpectedAnswer
	}
	result, err := a.filter(payload)
	tx.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	return tx.deliverFiltered(a, result), nil
}

// deliverFiltered writes a filtered payload to the caller. It returns the transaction status when the payload completes the
// answer, and zero otherwise.
func (tx *transaction) deliverFiltered(a *answer, result filteredPayload) byte {
	if err := tx.connection.write(result.data); err != nil {
		tx.abandon()
		return 0
	}
	if result.awaitsCopyData {
		tx.refuseCopy()
	}
	if result.status != 0 {
		tx.completeAnswer(a, result.status)
	}
	return result.status
}

// completeAnswer marks the answer to a batch as done and records the new transaction status.
func (tx *transaction) completeAnswer(a *answer, status byte) {
	if status == statusIdle {
		tx.connection.session.settings.recordStatement(a.singleStatement, a.commandTag)
	}
	tx.mutex.Lock()
	tx.status = status
	tx.inFlight = nil
	if status == statusIdle {
		tx.state = transactionAnswered
	} else {
		_ = tx.stream.SetDeadline(time.Time{})
	}
	tx.mutex.Unlock()
	a.status = status
	close(a.done)
	if status == statusIdle {
		tx.connection.holder.Rest()
	}
	tx.connection.wakeIfAwaited()
}

// handleOwnerLost ends a transaction whose stream to the owner has failed. It closes the stream, which ends a call of Send
// at once, and waits for that call. Only then is it known whether a part of the batch in flight may have reached the owner.
func (tx *transaction) handleOwnerLost(detail string) {
	tx.closeStream()
	tx.sendMutex.Lock()
	tx.mutex.Lock()
	outcomeUnknown := tx.inFlight != nil && tx.mayHaveReachedOwner
	tx.mutex.Unlock()
	tx.sendMutex.Unlock()
	if outcomeUnknown {
		tx.fail(fault.New(fault.OutcomeUnknown, detail))
		return
	}
	tx.fail(fault.New(fault.NoOwner, "the transaction was rolled back between two statements: "+detail))
}

// abandon ends a transaction because writing to the caller has failed.
func (tx *transaction) abandon() {
	tx.mutex.Lock()
	defer tx.mutex.Unlock()
	tx.state = transactionLost
	tx.abandoned = true
}

// refuseCopy ends a transaction because a statement expects COPY data from the caller.
func (tx *transaction) refuseCopy() {
	var r reply
	r.addError(severityError, sqlStateFeatureNotSupported, "failed: COPY FROM STDIN is not supported; send INSERT statements instead")
	tx.endWithError(nil, r)
}

// awaitOutcome waits for the frame with the outcome when the answer did not include it.
func (tx *transaction) awaitOutcome() {
	tx.mutex.Lock()
	known := tx.outcome != nil
	tx.mutex.Unlock()
	if known || tx.stream.SetDeadline(time.Now().Add(outcomeTimeout)) != nil {
		return
	}
	frame, err := tx.stream.Receive()
	if err == nil && frame.GetRequestId() == uint64(tx.requestID) {
		tx.recordOutcome(frame.GetOutcome())
	}
}
