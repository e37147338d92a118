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

// errStaleReceiver reports a link whose generation or term is no longer the member's.
var errStaleReceiver = errors.New("the replication link is out of date")

// logReceiver is one replication connection of a replica.
type logReceiver struct {
	m          *Member
	address    string
	term       types.Term
	generation uint64
	conn       net.Conn
	frontend   *pgproto3.Frontend
}

// replicate keeps a link to the primary that the member follows.
func (m *Member) replicate() {
	backoff := minBackoff
	for {
		l, changed := m.nextReceiver()
		if l == nil {
			select {
			case <-changed:
				continue
			case <-m.closing:
				return
			}
		}
		began := time.Now()
		_ = l.run()
		if time.Since(began) > replicationTimeout {
			backoff = minBackoff
		}
		if !m.waitBeforeRetry(backoff, l.generation) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextReceiver returns a link to open, or a channel closed at the next change when there is nobody to follow.
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

// waitBeforeRetry waits before the next attempt unless there is a new primary; it reports false when the member closes.
func (m *Member) waitBeforeRetry(span time.Duration, generation uint64) bool {
	timer := time.NewTimer(span)
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

// run opens the link and takes what the primary delivers until the link breaks.
func (l *logReceiver) run() error {
	conn, err := net.DialTimeout("tcp", l.address, replicationTimeout)
	if err != nil {
		return errors.Wrapf(err, "connecting to the primary at %s", l.address)
	}
	defer l.dropPending()
	defer func() { _ = conn.Close() }()
	l.conn = conn
	l.frontend = pgproto3.NewFrontend(conn, conn)
	l.extendDeadline()
	if err = l.register(); err != nil {
		return err
	}
	if err = l.handshake(); err != nil {
		return err
	}
	over := make(chan struct{})
	defer close(over)
	l.m.goroutines.Add(1)
	go func() {
		defer l.m.goroutines.Done()
		l.sendAcknowledgements(over)
	}()
	for {
		var d primaryMessage
		if err = l.receive(&d); err != nil {
			return err
		}
		if err = l.enqueue(d); err != nil {
			return err
		}
	}
}

// dropPending forgets what the lag keeps back once the link has ended: a primary that dies takes it along.
func (l *logReceiver) dropPending() {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.m.upstream.generation == l.generation {
		l.m.upstream.pending = nil
	}
}

func (l *logReceiver) extendDeadline() {
	_ = l.conn.SetDeadline(time.Now().Add(replicationTimeout))
}

// stillFollowing reports whether the member still follows the primary of this link; the caller holds the lock.
func (l *logReceiver) stillFollowing() bool {
	m := l.m
	return !m.closed && m.role == Replica && m.upstream.generation == l.generation &&
		m.durable.Term == l.term && l.term >= m.durable.FencedTerm
}

// register lets the member close the link when it is fenced or retargeted.
func (l *logReceiver) register() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if !l.stillFollowing() {
		return errStaleReceiver
	}
	l.m.upstream.disconnect()
	l.m.upstream.conn = l.conn
	return nil
}

// handshake agrees with the primary on the term and on where to begin.
func (l *logReceiver) handshake() error {
	l.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": string(l.m.settings.ID), replicationSetting: "true"},
	})
	l.frontend.Send(&pgproto3.Query{String: replicationQuery})
	if err := l.frontend.Flush(); err != nil {
		return errors.Wrap(err, "asking for replication")
	}
	for {
		message, err := l.frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "reading the answer to a replication request")
		}
		if _, ok := message.(*pgproto3.CopyBothResponse); ok {
			break
		}
	}
	if err := l.send(l.buildRequest()); err != nil {
		return err
	}
	var first primaryMessage
	if err := l.receive(&first); err != nil {
		return err
	}
	if first.Match == nil {
		return errors.New("the primary did not say where the logs match")
	}
	return l.discardAfter(*first.Match)
}

func (l *logReceiver) buildRequest() replicationRequest {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	return replicationRequest{Target: l.m.settings.ID, Term: l.term, TermRanges: l.m.log.termRanges()}
}

func (l *logReceiver) send(frame any) error {
	data, err := encodeMessage(frame)
	if err != nil {
		return err
	}
	l.frontend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(l.frontend.Flush(), "writing to the primary")
}

func (l *logReceiver) receive(d *primaryMessage) error {
	message, err := l.frontend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from the primary")
	}
	l.extendDeadline()
	switch message := message.(type) {
	case *pgproto3.CopyData:
		return decodeMessage(message.Data, d)
	case *pgproto3.ErrorResponse:
		return errors.New("the primary refused replication: " + message.Message)
	default:
		return errors.New("the primary sent an unexpected message")
	}
}
