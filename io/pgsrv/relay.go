package pgsrv

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/io/wire"
)

var errLateAnswer = errors.New("an answer that no request waits for")

// relay passes the owner's answers to the caller until the transaction is over.
func (x *exchange) relay() {
	defer x.closeStream()
	for {
		frame, err := x.stream.Receive()
		if err != nil {
			x.lose("the stream to the owner ended: " + err.Error())
			return
		}
		if frame.GetRequestId() != uint64(x.requestID) {
			x.caller.server.counters.Crossed.Add(1)
			x.lose(fmt.Sprintf("an answer to request %d arrived for request %d", frame.GetRequestId(), x.requestID))
			return
		}
		if !x.accept(frame) {
			return
		}
	}
}

// accept handles a frame and reports whether more are to come.
func (x *exchange) accept(frame *wire.Frame) bool {
	x.noteOutcome(frame.GetOutcome())
	if refusal := frame.GetOutcome().GetRefusal(); refusal != nil {
		x.fail(asRefused(refusal))
		return false
	}
	status, err := x.deliver(frame.GetPayload())
	if err != nil {
		x.caller.server.counters.Crossed.Add(1)
		x.lose("the owner's answer cannot be used: " + err.Error())
		return false
	}
	if status == statusIdle {
		x.awaitOutcome()
		return false
	}
	return !x.hasEnded()
}

// asRefused returns the fault that a refusal tells of.
func asRefused(refusal *wire.Refusal) *fault.Fault {
	f := fault.New(fault.Kind(refusal.GetKind()), refusal.GetDetail())
	if refusal.GetUnknown() {
		f.Outcome = fault.Unknown
	}
	return f
}

func (x *exchange) noteOutcome(outcome *wire.Outcome) {
	if outcome == nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.outcome = outcome
}

// hasEnded reports whether the transaction failed; an outcome after ReadyForQuery is awaited elsewhere.
func (x *exchange) hasEnded() bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state != exchangeOpen
}

// deliver writes a payload to the caller and returns the status when it ends the answer.
func (x *exchange) deliver(payload []byte) (byte, error) {
	if len(payload) == 0 {
		return 0, nil
	}
	x.mutex.Lock()
	a := x.current
	if a == nil {
		x.mutex.Unlock()
		if isAsynchronous(payload) {
			return 0, nil
		}
		return 0, errLateAnswer
	}
	result, err := a.filter(payload)
	x.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	return x.deliverPart(a, result), nil
}

// deliverPart gives the caller a part of its answer and returns the status when it was the last one.
func (x *exchange) deliverPart(a *answer, result filtered) byte {
	if err := x.caller.write(result.data); err != nil {
		x.abandon()
		return 0
	}
	if result.copying {
		x.refuseCopy()
	}
	if result.status != 0 {
		x.complete(a, result.status)
	}
	return result.status
}

// complete ends the answer to a batch.
func (x *exchange) complete(a *answer, status byte) {
	if status == statusIdle {
		x.caller.session.carried.observe(a.text, a.tag)
	}
	x.mutex.Lock()
	x.status = status
	x.current = nil
	if status == statusIdle {
		x.state = exchangeOver
	} else {
		_ = x.stream.SetDeadline(time.Time{})
	}
	x.mutex.Unlock()
	a.status = status
	close(a.done)
	x.caller.answered()
}

// lose ends a transaction whose owner can no longer be heard. It waits for a sending in progress, which ends at once on
// the closed stream, to know whether anything of the batch in flight can have reached the owner.
func (x *exchange) lose(detail string) {
	x.closeStream()
	x.sending.Lock()
	x.mutex.Lock()
	waiting := x.current != nil && x.sent
	x.mutex.Unlock()
	x.sending.Unlock()
	if waiting {
		x.fail(fault.New(fault.OutcomeUnknown, detail))
		return
	}
	x.fail(fault.New(fault.NoOwner, "the transaction was rolled back between two statements: "+detail))
}

// abandon ends a transaction whose caller no longer reads.
func (x *exchange) abandon() {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.state = exchangeLost
	x.abandoned = true
}

// refuseCopy ends a transaction that wants data from the caller.
func (x *exchange) refuseCopy() {
	var r reply
	r.fail(severityError, stateFeatureNotSupported, "failed: COPY FROM STDIN is not served; send INSERT statements instead")
	x.end(nil, r)
}

// awaitOutcome waits for the outcome when the answer came without it.
func (x *exchange) awaitOutcome() {
	x.mutex.Lock()
	known := x.outcome != nil
	x.mutex.Unlock()
	if known || x.stream.SetDeadline(time.Now().Add(outcomeWait)) != nil {
		return
	}
	frame, err := x.stream.Receive()
	if err == nil && frame.GetRequestId() == uint64(x.requestID) {
		x.noteOutcome(frame.GetOutcome())
	}
}
