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

// Conn is one connection to a target; it is not safe for concurrent use, but for Cancel and Close.
type Conn struct {
	netConn  net.Conn
	reader   *bufio.Reader
	buffer   []byte
	address  string
	position types.Position
	pid      uint32
	secret   uint32
	// messagesReceived counts messages, for those who watch the connection's progress.
	messagesReceived atomic.Uint64
}

// Address returns where the connection leads.
func (c *Conn) Address() string { return c.address }

// PID returns the process id that the target gave the connection.
func (c *Conn) PID() uint32 { return c.pid }

// Position returns the log position that the target's last answer covers.
func (c *Conn) Position() types.Position { return c.position }

// MessagesReceived returns the number of messages received so far; it is safe for concurrent use.
func (c *Conn) MessagesReceived() uint64 { return c.messagesReceived.Load() }

// Abort makes reads and writes fail at once and for good; it is safe for concurrent use.
func (c *Conn) Abort() { _ = c.netConn.Close() }

// SetDeadline bounds all reads and writes; the zero time removes the bound.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Wrap(c.netConn.SetDeadline(deadline), "setting a deadline")
}

// Close ends the connection.
func (c *Conn) Close() error { return errors.Wrap(c.netConn.Close(), "closing a connection") }

// Send writes encoded messages.
func (c *Conn) Send(payload []byte) error {
	_, err := c.netConn.Write(payload)
	return errors.Wrap(err, "sending to a target")
}

// HasUnreadBytes reports whether bytes that nobody asked for are waiting.
func (c *Conn) HasUnreadBytes() bool { return c.reader.Buffered() > 0 }

// Read returns the next message and keeps the position that it may report; asynchronous notices are passed over.
func (c *Conn) Read() (Message, error) {
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
		return Message{}, errors.Errorf("a target sent a message of %d bytes; check that the address is a database member", length)
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

// Cancel asks the target to stop the running statement; it uses a connection of its own.
func (c *Conn) Cancel(ctx context.Context) error {
	var d net.Dialer
	network, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return errors.Wrap(err, "connecting to cancel a statement")
	}
	defer func() { _ = network.Close() }()
	request := make([]byte, 0, cancelRequestBytes)
	request = binary.BigEndian.AppendUint32(request, cancelRequestBytes)
	request = binary.BigEndian.AppendUint32(request, cancelRequestCode)
	request = binary.BigEndian.AppendUint32(request, c.pid)
	request = binary.BigEndian.AppendUint32(request, c.secret)
	if deadline, ok := ctx.Deadline(); ok {
		_ = network.SetDeadline(deadline)
	}
	_, err = network.Write(request)
	return errors.Wrap(err, "sending a cancel request")
}
