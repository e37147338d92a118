package pgcli

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Conn is a connection to a target. It is not safe for concurrent use, except for Abort, Cancel, Close and
// MessagesReceived.
type Conn struct {
	netConn  net.Conn
	reader   *bufio.Reader
	buffer   []byte
	address  string
	position types.Position
	// reported is the position in the latest parameter status; it belongs to the answer that ends next.
	reported types.Position
	pid      uint32
	secret   uint32
	// messagesReceived lets other goroutines see whether the target still sends messages.
	messagesReceived atomic.Uint64
}

// Address returns the address of the target.
func (c *Conn) Address() string { return c.address }

// PID returns the process id that the target assigned to the connection.
func (c *Conn) PID() uint32 { return c.pid }

// Position returns the log position up to which the target's last answer covers the log. A guard's answer does not change it.
func (c *Conn) Position() types.Position { return c.position }

// MessagesReceived returns the number of messages received so far. It is safe for concurrent use.
func (c *Conn) MessagesReceived() uint64 { return c.messagesReceived.Load() }

// Abort closes the connection, so that current and later reads and writes fail. It is safe for concurrent use.
func (c *Conn) Abort() { _ = c.netConn.Close() }

// SetDeadline sets the deadline of reads and writes; the zero time means no deadline.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Wrap(c.netConn.SetDeadline(deadline), "setting a deadline")
}

// Close closes the connection.
func (c *Conn) Close() error { return errors.Wrap(c.netConn.Close(), "closing a connection") }

// Send writes encoded messages.
func (c *Conn) Send(payload []byte) error {
	_, err := c.netConn.Write(payload)
	return errors.Wrap(err, "sending to a target")
}

// HasUnreadBytes reports whether the read buffer contains bytes that were not read as messages yet. After a complete answer
// these are bytes that the target sent without a request.
func (c *Conn) HasUnreadBytes() bool { return c.reader.Buffered() > 0 }

// Read returns the next message. It skips parameter statuses, from which it records the log position, and notifications.
func (c *Conn) Read() (Message, error) {
	m, err := c.readAnswer()
	if err != nil || m.Type != TypeReadyForQuery {
		return m, err
	}
	if _, err := m.status(); err != nil {
		return Message{}, err
	}
	c.position = c.reported
	return m, nil
}

// readAnswer returns the next message that is neither a parameter status nor a notification.
func (c *Conn) readAnswer() (Message, error) {
	for {
		m, err := c.readMessage()
		if err != nil {
			return Message{}, err
		}
		switch m.Type {
		case TypeParameterStatus:
			c.recordPosition(m.Body())
		case TypeNotification:
		default:
			return m, nil
		}
	}
}

func (c *Conn) readMessage() (Message, error) {
	header, err := c.reader.Peek(messageHeaderBytes)
	if err != nil {
		return Message{}, errors.Wrap(err, "reading from a target")
	}
	length := int(binary.BigEndian.Uint32(header[1:]))
	if length < messageLengthBytes || length > maxMessageBytes {
		return Message{}, errors.Errorf("target sent a message of invalid length %d; check that the address is that of a database member", length)
	}
	size := length + 1
	if cap(c.buffer) < size {
		c.buffer = make([]byte, size)
	}
	raw := c.buffer[:size]
	if _, err := io.ReadFull(c.reader, raw); err != nil {
		return Message{}, errors.Wrap(err, "reading from a target")
	}
	c.messagesReceived.Add(1)
	return Message{Type: raw[0], Raw: raw}, nil
}

// Cancel asks the target to cancel the running statement. It uses a separate connection, as the protocol requires.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	netConn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrap(err, "connecting to cancel a statement")
	}
	defer func() { _ = netConn.Close() }()
	request := make([]byte, 0, cancelRequestBytes)
	request = binary.BigEndian.AppendUint32(request, cancelRequestBytes)
	request = binary.BigEndian.AppendUint32(request, cancelRequestCode)
	request = binary.BigEndian.AppendUint32(request, c.pid)
	request = binary.BigEndian.AppendUint32(request, c.secret)
	if deadline, ok := ctx.Deadline(); ok {
		_ = netConn.SetDeadline(deadline)
	}
	_, err = netConn.Write(request)
	return errors.Wrap(err, "sending a cancel request")
}
