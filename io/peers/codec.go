package peers

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"turmericpulley/core/fault"
)

const (
	// maxMessageBytes is the size of the largest message.
	maxMessageBytes = 16 << 20
	// headerBytes is the size of the header of each message, which holds its length.
	headerBytes = 4
	// initialBufferBytes is the initial size of the buffers.
	initialBufferBytes = 512
	// maxSmallBytes is the size of the largest message for which no room is asked; messages of the fleet itself are smaller.
	maxSmallBytes = 64 << 10
	// patientPartBytes is the size of the parts in which a message is read with patience. The slowest links take a twentieth of a second
	// for one when they have nothing else to carry.
	patientPartBytes = 16 << 10
	// maxKeptBufferBytes is the size of the largest buffer that is kept for the next message.
	maxKeptBufferBytes = 256 << 10
)

// codec reads and writes messages on a connection. It reuses its buffers.
type codec struct {
	conn      net.Conn
	counters  *Counters
	writeMu   sync.Mutex
	outBuffer []byte
	inBuffer  []byte
	// patience is how long each part of the message that is being read may take, whatever the deadline; zero keeps the deadline.
	patience time.Duration
}

func newCodec(conn net.Conn, counters *Counters) *codec {
	buffer := make([]byte, 2*initialBufferBytes)
	return &codec{
		conn:      conn,
		counters:  counters,
		outBuffer: buffer[0:0:initialBufferBytes],
		inBuffer:  buffer[initialBufferBytes:],
	}
}

// ErrNotSent means that the channel had ended before any part of a message was sent.
var ErrNotSent = errors.New("the channel to the other instance had ended before the message was sent; send it over a new one")

// ErrNotEncoded means that a message cannot be sent at all; the channel stays usable.
var ErrNotEncoded = errors.New("the message to the other instance cannot be encoded")

// write sends the message with a single write. The error is ErrNotSent when it is certain that nothing was sent, and ErrNotEncoded when
// it was the message that could not be sent.
func (c *codec) write(message proto.Message) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	encoded, err := proto.MarshalOptions{}.MarshalAppend(append(c.outBuffer[:0], 0, 0, 0, 0), message)
	if err != nil {
		return errors.Wrap(ErrNotEncoded, err.Error())
	}
	if len(encoded)-headerBytes > maxMessageBytes {
		return fmt.Errorf("%w: %w", ErrNotEncoded, fault.New(fault.ProtocolViolation, "a message to another instance exceeds 16 MiB"))
	}
	if cap(encoded) <= maxKeptBufferBytes {
		c.outBuffer = encoded
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-headerBytes))
	sent, err := c.conn.Write(encoded)
	if sent == 0 && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset)) {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	return errors.Wrap(err, "sending to another instance")
}

// read waits for the next message. It returns io.EOF when the other end closed the connection between two messages.
func (c *codec) read(message proto.Message) error {
	return c.readWithin(message, func(int) bool { return true })
}

// ErrNoRoom means that there was no room for a message; it was read to its end and dropped, and the channel stays usable.
var ErrNoRoom = errors.New("no room for a message of another instance")

// readWithin is read, but drops a message that is not small when room, asked with its size before it is read, reports that there is none.
func (c *codec) readWithin(message proto.Message, room func(size int) bool) error {
	header := c.inBuffer[:headerBytes]
	if _, err := io.ReadFull(c.conn, header); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return errors.Wrap(err, "receiving from another instance")
	}
	size := binary.BigEndian.Uint32(header)
	if size > maxMessageBytes {
		return c.protocolViolation("a message of " + strconv.FormatUint(uint64(size), 10) + " bytes exceeds 16 MiB")
	}
	if size > maxSmallBytes {
		defer c.shrink()
	}
	if size > maxSmallBytes && !room(int(size)) {
		if _, err := io.CopyN(io.Discard, c.conn, int64(size)); err != nil {
			return errors.Wrap(err, "receiving from another instance")
		}
		return ErrNoRoom
	}
	body, err := c.readBody(int(size))
	if err != nil {
		return errors.Wrap(err, "receiving from another instance")
	}
	if err := proto.Unmarshal(body, message); err != nil {
		return c.protocolViolation("a message from another instance cannot be decoded")
	}
	return nil
}

// shrink makes the stream give back the buffer that it took for a large message.
func (c *codec) shrink() {
	if stream, is := c.conn.(*yamux.Stream); is {
		stream.Shrink()
	}
}

// readBody reads the rest of a message. The memory for a large one is taken as its bytes arrive, because the other end may send no more
// than the header.
func (c *codec) readBody(size int) ([]byte, error) {
	if size <= maxKeptBufferBytes {
		body := c.buffer(size)
		return body, c.fill(body)
	}
	var body []byte
	for len(body) < size {
		read := len(body)
		body = slices.Grow(body, min(size-read, max(read, maxKeptBufferBytes)))[:min(size, max(2*read, maxKeptBufferBytes))]
		if err := c.fill(body[read:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// fill reads until the buffer is full. Where there is a patience, each part of the buffer may take that long.
func (c *codec) fill(buffer []byte) error {
	if c.patience == 0 || len(buffer) <= patientPartBytes {
		_, err := io.ReadFull(c.conn, buffer)
		return err
	}
	for part := range slices.Chunk(buffer, patientPartBytes) {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.patience)); err != nil {
			return err
		}
		if _, err := io.ReadFull(c.conn, part); err != nil {
			return err
		}
	}
	return nil
}

// buffer returns a buffer of the given size and keeps it for the next message.
func (c *codec) buffer(size int) []byte {
	if size <= len(c.inBuffer) {
		return c.inBuffer[:size]
	}
	c.inBuffer = make([]byte, size)
	return c.inBuffer
}

func (c *codec) protocolViolation(detail string) error {
	c.counters.ProtocolViolations.Add(1)
	return fault.New(fault.ProtocolViolation, detail)
}
