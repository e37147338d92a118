package fakedb

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// errStaleReceiver reports a receiver whose generation or term is no longer the member's.
var errStaleReceiver = errors.New("the replication connection is out of date")

// logReceiver receives the log of a primary over one replication connection, as the WAL receiver of PostgreSQL does.
type logReceiver struct {
	m          *Member
	address    string
	term       types.Term
	generation uint64
	conn       net.Conn
	frontend   *pgproto3.Frontend
}

// replicate keeps a replication connection to the primary that the member follows, with backoff between attempts.
func (m *Member) replicate() {
	backoff := minBackoff
	for {
		receiver, changed := m.nextReceiver()
		if receiver == nil {
			select {
			case <-changed:
				continue
			case <-m.closing:
				return
			}
		}
		startedAt := time.Now()
		_ = receiver.run()
		if time.Since(startedAt) > replicationTimeout {
			backoff = minBackoff
		}
		if !m.waitBeforeRetry(backoff, receiver.generation) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextReceiver returns a receiver for the primary that the member follows. When there is none, it returns nil and a channel
// that is closed at the next change of the member.
func (m *Member) nextReceiver() (*logReceiver, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.role != Replica || m.upstream.address == "" {
		return nil, m.changed.wait()
	}
	return &logReceiver{
		m:          m,
		address:    m.upstream.address,
		term:       m.durable.Term,
		generation: m.upstream.generation,
	}, nil
}

// waitBeforeRetry waits for the backoff. It returns early when the member is told to follow another primary, and reports
// false when the member closes.
func (m *Member) waitBeforeRetry(backoff time.Duration, generation uint64) bool {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	for {
		m.mu.Lock()
		changed := m.changed.wait()
		retargeted := m.upstream.generation != generation
		m.mu.Unlock()
		if retargeted {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-m.closing:
			return false
		}
	}
}

// run connects to the primary and enqueues the entries that it sends until the connection breaks.
func (r *logReceiver) run() error {
	conn, err := net.DialTimeout("tcp", r.address, replicationTimeout)
	if err != nil {
		return errors.Wrapf(err, "connecting to the primary at %s", r.address)
	}
	defer r.dropPending()
	defer func() { _ = conn.Close() }()
	r.conn = conn
	r.frontend = pgproto3.NewFrontend(conn, conn)
	r.extendDeadline()
	if err = r.register(); err != nil {
		return err
	}
	if err = r.handshake(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	r.m.goroutines.Add(1)
	go func() {
		defer r.m.goroutines.Done()
		r.sendAcknowledgements(done)
	}()
	for {
		var received primaryMessage
		if err = r.receive(&received); err != nil {
			return err
		}
		if err = r.enqueue(received); err != nil {
			return err
		}
	}
}

// dropPending drops the entries that wait for the receive lag, once the connection has ended. A replica with that lag would
// not have received them before the primary failed.
func (r *logReceiver) dropPending() {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if r.m.upstream.generation == r.generation {
		r.m.upstream.pending = nil
	}
}

func (r *logReceiver) extendDeadline() {
	_ = r.conn.SetDeadline(time.Now().Add(replicationTimeout))
}

// stillFollowing reports whether the member still follows the primary of this receiver; the caller holds the lock.
func (r *logReceiver) stillFollowing() bool {
	m := r.m
	return !m.closed && m.role == Replica && m.upstream.generation == r.generation &&
		m.durable.Term == r.term && r.term >= m.durable.FencedTerm
}

// register stores the connection in the member, which closes it when it is fenced or follows another primary.
func (r *logReceiver) register() error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if !r.stillFollowing() {
		return errStaleReceiver
	}
	r.m.upstream.disconnect()
	r.m.upstream.conn = r.conn
	return nil
}

// handshake sends the term and the log's ranges of terms, and discards the entries that the primary does not have.
func (r *logReceiver) handshake() error {
	r.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": string(r.m.settings.ID), replicationSetting: "true"},
	})
	r.frontend.Send(&pgproto3.Query{String: replicationQuery})
	if err := r.frontend.Flush(); err != nil {
		return errors.Wrap(err, "requesting replication")
	}
	for {
		message, err := r.frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "reading the response to a replication request")
		}
		if _, ok := message.(*pgproto3.CopyBothResponse); ok {
			break
		}
	}
	if err := r.send(r.buildRequest()); err != nil {
		return err
	}
	var first primaryMessage
	if err := r.receive(&first); err != nil {
		return err
	}
	if first.Match == nil {
		return errors.New("the primary did not send the position up to which the logs are equal")
	}
	return r.discardAfter(*first.Match)
}

func (r *logReceiver) buildRequest() replicationRequest {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	return replicationRequest{Target: r.m.settings.ID, Term: r.term, TermRanges: r.m.log.termRanges()}
}

func (r *logReceiver) send(message any) error {
	data, err := encodeMessage(message)
	if err != nil {
		return err
	}
	r.frontend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(r.frontend.Flush(), "writing to the primary")
}

func (r *logReceiver) receive(received *primaryMessage) error {
	message, err := r.frontend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from the primary")
	}
	r.extendDeadline()
	switch message := message.(type) {
	case *pgproto3.CopyData:
		return decodeMessage(message.Data, received)
	case *pgproto3.ErrorResponse:
		return errors.New("the primary refused replication: " + message.Message)
	default:
		return errors.New("the primary sent an unexpected message")
	}
}
