package owner

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/acct"
	"turmericpulley/core/admit"
	"turmericpulley/core/budget"
	"turmericpulley/core/fault"
	"turmericpulley/core/policy"
	"turmericpulley/core/reads"
	"turmericpulley/core/trace"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// errCallerGone reports that the caller's side ended the stream.
var errCallerGone = errors.New("the caller's side ended the stream")

// transaction is one transaction of a caller that the owner runs.
type transaction struct {
	owner    *Owner
	begin    *wire.Begin
	contract policy.Contract
	session  reads.Session
	stream   Stream
	frames   chan *wire.Frame
	// runningMu guards running, so that no cancel request is sent for a connection that already runs another transaction.
	runningMu sync.Mutex
	// running is the connection on which a batch of the transaction runs; nil when there is none.
	running *pooledConn
	limits  admit.Limits
	// recheck returns why the transaction may no longer run, or nil; it is called after each wait for a connection.
	recheck  func() error
	attempts uint32
	// relayed is set once a part of an answer was sent to the caller; from then on the transaction cannot run on another member.
	relayed bool
	// holder counts the held part of an answer, heldBytes of it so far, in the instance's budget; nil counts nothing.
	holder    *budget.Holder
	heldBytes int
}

// Serve runs one transaction and answers on the stream, which the calling function has to close. recheck is called after
// each wait for a connection, before the transaction is sent on it; it returns why the transaction may no longer run, or nil.
func (o *Owner) Serve(
	ctx context.Context, begin *wire.Begin, contract policy.Contract, recheck func() error, s Stream,
) {
	t := &transaction{
		owner:    o,
		begin:    begin,
		contract: contract,
		session:  reads.Session{Customer: types.AccountID(begin.GetCustomer()), Name: types.SessionName(begin.GetSession())},
		stream:   s,
		recheck:  recheck,
		frames:   make(chan *wire.Frame, frameQueueLength),
		limits: admit.Limits{
			Connections:  contract.Connections,
			QueueLength:  contract.QueueLength,
			QueueTimeout: contract.QueueTimeout.Duration(),
			Weight:       contract.Weight,
		},
	}
	if pool := o.settings.Budget; pool != nil {
		t.holder = pool.Join(t.session.Customer)
		defer t.holder.Close()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !o.beginTransaction() {
		t.refuse(errNotOwner())
		return
	}
	defer o.endTransaction()
	o.settings.Recorder.Begin(types.RequestID(begin.GetRequestId()), t.session.Customer, o.Database(), t.session.Name)
	go t.receive(ctx, cancel)
	if err := t.run(ctx); err != nil {
		t.finishWithError(err)
	}
}

// receive queues the caller's frames and executes its cancel requests until the stream ends. The end of the stream cancels the
// transaction.
func (t *transaction) receive(ctx context.Context, cancel context.CancelFunc) {
	defer close(t.frames)
	for {
		f, err := t.stream.Receive()
		if err != nil {
			cancel()
			return
		}
		if f.GetCancel() {
			t.cancelRunning()
			continue
		}
		copied := &wire.Frame{RequestId: f.GetRequestId(), Payload: bytes.Clone(f.GetPayload()), BatchEnd: f.GetBatchEnd()}
		select {
		case t.frames <- copied:
		case <-ctx.Done():
			return
		}
	}
}

func (t *transaction) cancelRunning() {
	t.runningMu.Lock()
	defer t.runningMu.Unlock()
	if t.running == nil {
		return
	}
	t.running.cancelSent = true
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	_ = t.running.Cancel(ctx)
}

// setRunning sets the connection to which a cancel request applies; nil means none.
func (t *transaction) setRunning(c *pooledConn) {
	t.runningMu.Lock()
	defer t.runningMu.Unlock()
	t.running = c
}

// nextFrame returns the caller's next frame; ended reports that it completes a batch.
func (t *transaction) nextFrame(ctx context.Context) (payload []byte, ended bool, err error) {
	select {
	case f, ok := <-t.frames:
		if !ok {
			return nil, false, errCallerGone
		}
		return f.GetPayload(), f.GetBatchEnd(), nil
	case <-ctx.Done():
		return nil, false, errCallerGone
	}
}

func (t *transaction) run(ctx context.Context) error {
	payload, ended, err := t.nextFrame(ctx)
	if err != nil {
		return err
	}
	ctx, cancel := t.batchContext(ctx)
	defer cancel()
	if !t.owner.limits.Take(acct.Account{ID: t.session.Customer, Limit: t.contract.Limit()}).Allowed {
		return fault.New(fault.RateExceeded, fmt.Sprintf("customer %s exceeds its limit of %d requests per second",
			t.session.Customer, t.contract.RequestRate))
	}
	t.owner.retryBudget.RecordRequest()
	if t.mayUseReplica(ended) {
		done, err := t.tryReplicas(ctx, payload)
		if done || err != nil {
			return err
		}
	}
	if len(t.begin.GetRequestKey()) > 0 {
		return t.runKeyed(ctx, payload, ended)
	}
	return t.runOnPrimary(ctx, payload, ended)
}

// batchContext bounds one batch by the timeout that the caller's instance sent.
func (t *transaction) batchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(t.begin.GetTimeoutMs())*time.Millisecond)
}

func (t *transaction) mayUseReplica(ended bool) bool {
	if !ended || len(t.begin.GetRequestKey()) > 0 || t.maxAge() <= 0 {
		return false
	}
	return t.begin.GetReadOnly() || !t.owner.settings.Writes.Contains(t.begin.GetStatementHash())
}

// maxAge returns the largest age of data that a read may return: that of the contract or, if smaller, of the session.
func (t *transaction) maxAge() time.Duration {
	age := t.contract.MaxReadAge.Duration()
	if t.begin.MaxReadAgeMs != nil {
		age = min(age, time.Duration(t.begin.GetMaxReadAgeMs())*time.Millisecond)
	}
	return age
}

func (t *transaction) recordEvent(event trace.Event) {
	t.owner.settings.Recorder.Add(types.RequestID(t.begin.GetRequestId()), event)
}

func (t *transaction) finishWithError(err error) {
	if errors.Is(err, errCallerGone) {
		t.recordEvent(trace.Event{Step: trace.Cancelled, Detail: "the caller disconnected"})
		return
	}
	f := fault.From(err)
	if f == nil {
		f = fault.New(fault.OutcomeUnknown, err.Error())
	}
	t.refuse(f)
}

// refuse sends an error as the outcome; it counts the transaction as refused, or as one of unknown outcome.
func (t *transaction) refuse(f *fault.Fault) {
	step := trace.Refused
	if f.Outcome == fault.Unknown {
		step = trace.Lost
		t.owner.settings.Counters.UnknownOutcomes.Add(1)
	} else {
		t.owner.settings.Counters.Refusals.Add(1)
	}
	t.recordEvent(trace.Event{Step: step, Kind: f.Kind, Detail: f.Detail})
	_ = t.stream.Send(&wire.Frame{
		RequestId: t.begin.GetRequestId(),
		Outcome: &wire.Outcome{
			Refusal:  &wire.Refusal{Kind: string(f.Kind), Detail: f.Detail, Unknown: f.Outcome == fault.Unknown},
			Attempts: t.attempts,
		},
	})
}

// finish sends the last part of the answer with the outcome.
func (t *transaction) finish(held []byte, target types.TargetID, isReplica bool, term types.Term, position types.Position) error {
	if isReplica {
		t.owner.settings.Counters.ReplicaReads.Add(1)
	} else {
		t.owner.settings.Counters.PrimaryTransactions.Add(1)
	}
	err := t.stream.Send(&wire.Frame{
		RequestId: t.begin.GetRequestId(),
		Payload:   held,
		Outcome: &wire.Outcome{
			Target: string(target), Replica: isReplica, Term: uint64(term), Position: uint64(position), Attempts: t.attempts,
		},
	})
	if err != nil {
		return errCallerGone
	}
	return nil
}

// hold returns an error when the held part of the answer is too large, for one answer or for the instance.
func (t *transaction) hold(a *answer) error {
	if len(a.held) > maxHeldBytes {
		return errors.New("the answer after a completed command is too large to hold; send smaller batches")
	}
	if t.holder == nil || len(a.held) < t.heldBytes+relayChunkBytes {
		return nil
	}
	t.heldBytes = len(a.held)
	if !t.holder.Take(budget.Answer, budget.Bytes(t.heldBytes)) {
		return fault.New(fault.OutcomeUnknown, "the owner has no memory left to hold the answer until it is confirmed; send smaller batches")
	}
	return nil
}

// relay sends a part of the answer.
func (t *transaction) relay(payload []byte) error {
	t.relayed = true
	if t.holder != nil {
		t.heldBytes = 0
		t.holder.Take(budget.Answer, 0)
	}
	if err := t.stream.Send(&wire.Frame{RequestId: t.begin.GetRequestId(), Payload: payload}); err != nil {
		return errCallerGone
	}
	return nil
}
