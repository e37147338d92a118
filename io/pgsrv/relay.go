package pgsrv

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/io/wire"
)

var errUnexpectedAnswer = errors.New("an answer that no request waits for")

// relayAnswers passes the owner's answers to the caller until the transaction is over.
func (x *transaction) relayAnswers() {
	defer x.closeStream()
	for {
		frame, err := x.stream.Receive()
		if err != nil {
			x.handleOwnerLost("the stream to the owner ended: " + err.Error())
			return
		}
		if frame.GetRequestId() != uint64(x.requestID) {
			x.connection.server.counters.UnexpectedFrames.Add(1)
			x.handleOwnerLost(fmt.Sprintf("an answer to request %d arrived for request %d", frame.GetRequestId(), x.requestID))
			return
		}
		if !x.handleFrame(frame) {
			return
		}
	}
}

// handleFrame handles a frame and reports whether more are to come.
func (x *transaction) handleFrame(frame *wire.Frame) bool {
	x.recordOutcome(frame.GetOutcome())
	if refusal := frame.GetOutcome().GetRefusal(); refusal != nil {
		x.fail(refusalFault(refusal))
		return false
	}
	status, err := x.deliver(frame.GetPayload())
	if err != nil {
		x.connection.server.counters.UnexpectedFrames.Add(1)
		x.handleOwnerLost("the owner's answer cannot be used: " + err.Error())
		return false
	}
	if status == statusIdle {
		x.awaitOutcome()
		return false
	}
	return !x.hasEnded()
}

// refusalFault returns the fault that a refusal tells of.
func refusalFault(refusal *wire.Refusal) *fault.Fault {
	f := fault.New(fault.Kind(refusal.GetKind()), refusal.GetDetail())
	if refusal.GetUnknown() {
		f.Outcome = fault.Unknown
	}
	return f
}

func (x *transaction) recordOutcome(outcome *wire.Outcome) {
	if outcome == nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.outcome = outcome
}

// hasEnded reports whether the transaction failed; an outcome after ReadyForQuery is awaited elsewhere.
func (x *transaction) hasEnded() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state != transactionOpen
}

// deliver writes a payload to the caller and returns the status when it ends the answer.
func (x *transaction) deliver(payload []byte) (byte, error) {
	if len(payload) == 0 {
		return 0, nil
	}
	x.mutex.Lock()
	a := x.inFlight
	if a == nil {
		x.mutex.Unlock()
		if isAsynchronous(payload) {
			return 0, nil
		}
		return 0, errUnexpectedAnswer
	}
	result, err := a.filter(payload)
	x.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	return x.deliverFiltered(a, result), nil
}

// deliverFiltered gives the caller a part of its answer and returns the status when it was the last one.
func (x *transaction) deliverFiltered(a *answer, result filteredPayload) byte {
	if err := x.connection.write(result.data); err != nil {
		x.abandon()
		return 0
	}
	if result.awaitsCopyData {
		x.refuseCopy()
	}
	if result.status != 0 {
		x.completeAnswer(a, result.status)
	}
	return result.status
}

// completeAnswer ends the answer to a batch.
func (x *transaction) completeAnswer(a *answer, status byte) {
	if status == statusIdle {
		x.connection.session.settings.recordStatement(a.singleStatement, a.commandTag)
	}
	x.mutex.Lock()
	x.status = status
	x.inFlight = nil
	if status == statusIdle {
		x.state = transactionAnswered
	} else {
		_ = x.stream.SetDeadline(time.Time{})
	}
	x.mutex.Unlock()
	a.status = status
	close(a.done)
	x.connection.wakeIfAwaited()
}

// handleOwnerLost ends a transaction whose owner can no longer be heard. It waits for a sending in progress, which ends at once on
// the closed stream, to know whether anything of the batch in flight can have reached the owner.
func (x *transaction) handleOwnerLost(detail string) {
	x.closeStream()
	x.sendMutex.Lock()
	x.mutex.Lock()
	waiting := x.inFlight != nil && x.mayHaveReachedOwner
	x.mutex.Unlock()
	x.sendMutex.Unlock()
	if waiting {
		x.fail(fault.New(fault.OutcomeUnknown, detail))
		return
	}
	x.fail(fault.New(fault.NoOwner, "the transaction was rolled back between two statements: "+detail))
}

// abandon ends a transaction whose caller no longer reads.
func (x *transaction) abandon() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.state = transactionLost
	x.abandoned = true
}

// refuseCopy ends a transaction that wants data from the caller.
func (x *transaction) refuseCopy() {
	var r reply
	r.addError(severityError, sqlStateFeatureNotSupported, "failed: COPY FROM STDIN is not served; send INSERT statements instead")
	x.endWithError(nil, r)
}

// awaitOutcome waits for the outcome when the answer came without it.
func (x *transaction) awaitOutcome() {
	x.mutex.Lock()
	known := x.outcome != nil
	x.mutex.Unlock()
	if known || x.stream.SetDeadline(time.Now().Add(outcomeTimeout)) != nil {
		return
	}
	frame, err := x.stream.Receive()
	if err == nil && frame.GetRequestId() == uint64(x.requestID) {
		x.recordOutcome(frame.GetOutcome())
	}
}
