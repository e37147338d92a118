package pgsrv

import (
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxPreallocatedBytes is the largest message that is read into the memory that messages share.
const maxPreallocatedBytes = 64 << 10

var errInterrupted = errors.New("the wait for the next message was interrupted")

// messageReader reads messages from a connection. It holds no buffer while it waits for the first byte of a message, so that
// an idle connection needs little memory.
type messageReader struct {
	conn            net.Conn
	pool            *sync.Pool
	buffer          *readBuffer
	firstByte       [1]byte
	firstByteUnread bool
	maxBytes        int
	// admit returns an error when there is no memory for a message of the length; progress is called as parts of a large body arrive.
	admit            func(length int) error
	progress         func()
	retryInterrupted bool // a read inside a message is retried when its deadline passes
}

// Read reads from the connection to fill the buffer. When the deadline passes and retryInterrupted is set, it clears the
// deadline and retries.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.firstByteUnread {
		r.firstByteUnread = false
		p[0] = r.firstByte[0]
		return 1, nil
	}
	for {
		n, err := r.conn.Read(p)
		if n > 0 || !r.retryInterrupted || !isTimeout(err) {
			return n, err
		}
		if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
			return 0, errors.Wrap(err, "clearing the read deadline")
		}
	}
}

// next returns the next message, or errInterrupted when the read deadline passes between two messages.
func (r *messageReader) next() (message, error) {
	if err := r.awaitMessage(); err != nil {
		return message{}, err
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.buffer.reader, header[:]); err != nil {
		return message{}, errors.Wrap(err, "reading a message's header")
	}
	length := int64(binary.BigEndian.Uint32(header[1:]))
	if length < lengthBytes {
		return message{}, newProtocolViolation("message %q has the invalid length %d", header[0], length)
	}
	if length > int64(r.maxBytes) {
		return message{}, newProtocolViolation("message %q of %d bytes exceeds the limit of %d bytes", header[0], length, r.maxBytes)
	}
	if err := r.admit(int(length)); err != nil {
		return message{}, err
	}
	if length > maxPreallocatedBytes {
		return r.readLargeMessage(header, int(length))
	}
	body, err := r.readBody(int(length) - lengthBytes)
	return message{messageType: header[0], body: body}, err
}

// startupPacket returns the bytes of a start-up packet, including its length.
func (r *messageReader) startupPacket() ([]byte, error) {
	if err := r.awaitMessage(); err != nil {
		return nil, err
	}
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r.buffer.reader, header[:]); err != nil {
		return nil, errors.Wrap(err, "reading the length of a start-up packet")
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 2*lengthBytes || length > maxStartupBytes {
		return nil, newProtocolViolation("start-up packet has the invalid length %d", length)
	}
	body, err := r.readBody(int(length) - lengthBytes)
	return append(header[:], body...), err
}

// awaitMessage waits for the first byte of a message and then takes a buffer from the pool.
func (r *messageReader) awaitMessage() error {
	if r.buffer != nil && r.buffer.reader.Buffered() > 0 {
		return nil
	}
	r.releaseBuffer()
	n, err := r.conn.Read(r.firstByte[:])
	if n == 0 {
		if isTimeout(err) {
			return errInterrupted
		}
		return errors.Wrap(err, "waiting for a message")
	}
	r.firstByteUnread = true
	r.buffer = r.pool.Get().(*readBuffer)
	r.buffer.reader.Reset(r)
	return nil
}

func (r *messageReader) readBody(length int) ([]byte, error) {
	body := r.buffer.body(length)
	_, err := io.ReadFull(r.buffer.reader, body)
	return body, errors.Wrap(err, "reading a message's body")
}

// readLargeMessage reads a message into memory of its own.
func (r *messageReader) readLargeMessage(header [headerBytes]byte, length int) (message, error) {
	encoded := make([]byte, headerBytes+length-lengthBytes)
	copy(encoded, header[:])
	body := encoded[headerBytes:]
	for rest := body; len(rest) > 0; {
		n, err := r.buffer.reader.Read(rest)
		if err != nil {
			return message{}, errors.Wrap(err, "reading a message's body")
		}
		r.progress()
		rest = rest[n:]
	}
	return message{messageType: header[0], body: body, encoded: encoded}, nil
}

// releaseBuffer returns the buffer to the pool; an idle connection holds none.
func (r *messageReader) releaseBuffer() {
	if r.buffer == nil {
		return
	}
	r.buffer.reader.Reset(nil)
	r.pool.Put(r.buffer)
	r.buffer = nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
