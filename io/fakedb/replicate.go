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

// errStale reports a link whose generation or term is no longer the member's.
var errStale = errors.New("the replication link is out of date")

// link is one replication connection of a replica.
type link struct {
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
		l, changed := m.nextLink()
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
		if time.Since(began) > linkTimeout {
			backoff = minBackoff
		}
		if !m.rest(backoff, l.generation) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// nextLink returns a link to open, or a channel closed at the next change when there is nobody to follow.
func (m *Member) nextLink() (*link, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.role != Replica || m.upstream.address == "" {
		return nil, m.changed.wait()
	}
	return &link{
		m:          m,
		address:    m.upstream.address,
		term:       m.promises.Term,
		generation: m.upstream.generation,
	}, nil
}

// rest waits before the next attempt unless there is a new primary; it reports false when the member closes.
func (m *Member) rest(span time.Duration, generation uint64) bool {
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
func (l *link) run() error {
	conn, err := net.DialTimeout("tcp", l.address, linkTimeout)
	if err != nil {
		return errors.Wrapf(err, "connecting to the primary at %s", l.address)
	}
	defer l.dropPending()
	defer func() { _ = conn.Close() }()
	l.conn = conn
	l.frontend = pgproto3.NewFrontend(conn, conn)
	l.extendDeadline()
	if err = l.adopt(); err != nil {
		return err
	}
	if err = l.open(); err != nil {
		return err
	}
	over := make(chan struct{})
	defer close(over)
	l.m.work.Add(1)
	go func() {
		defer l.m.work.Done()
		l.acknowledge(over)
	}()
	for {
		var d delivery
		if err = l.receive(&d); err != nil {
			return err
		}
		if err = l.take(d); err != nil {
			return err
		}
	}
}

// dropPending forgets what the lag keeps back once the link has ended: a primary that dies takes it along.
func (l *link) dropPending() {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if l.m.upstream.generation == l.generation {
		l.m.upstream.pending = nil
	}
}

func (l *link) extendDeadline() {
	_ = l.conn.SetDeadline(time.Now().Add(linkTimeout))
}

// current reports whether the member still follows the primary of this link; the caller holds the lock.
func (l *link) current() bool {
	m := l.m
	return !m.closed && m.role == Replica && m.upstream.generation == l.generation &&
		m.promises.Term == l.term && l.term >= m.promises.FencedTerm
}

// adopt lets the member close the link when it is fenced or retargeted.
func (l *link) adopt() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	if !l.current() {
		return errStale
	}
	l.m.upstream.disconnect()
	l.m.upstream.conn = l.conn
	return nil
}

// open agrees with the primary on the term and on where to begin.
func (l *link) open() error {
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
	if err := l.send(l.opening()); err != nil {
		return err
	}
	var first delivery
	if err := l.receive(&first); err != nil {
		return err
	}
	if first.Match == nil {
		return errors.New("the primary did not say where the logs match")
	}
	return l.discardAfter(*first.Match)
}

func (l *link) opening() opening {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	return opening{Target: l.m.settings.ID, Term: l.term, Runs: l.m.log.runs()}
}

func (l *link) send(frame any) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	l.frontend.Send(&pgproto3.CopyData{Data: data})
	return errors.Wrap(l.frontend.Flush(), "writing to the primary")
}

func (l *link) receive(d *delivery) error {
	message, err := l.frontend.Receive()
	if err != nil {
		return errors.Wrap(err, "reading from the primary")
	}
	l.extendDeadline()
	switch message := message.(type) {
	case *pgproto3.CopyData:
		return decodeFrame(message.Data, d)
	case *pgproto3.ErrorResponse:
		return errors.New("the primary refused replication: " + message.Message)
	default:
		return errors.New("the primary sent an unexpected message")
	}
}
