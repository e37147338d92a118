package pgsrv

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxPreallocatedBytes is the largest body for which memory is allocated before its bytes arrive.
const maxPreallocatedBytes = 64 << 10

var errInterrupted = errors.New("the wait for the next message was interrupted")

// messageReader reads messages from a connection. It holds a buffer only while the buffer contains unread bytes.
type messageReader struct {
	conn             net.Conn
	pool             *sync.Pool
	buffer           *readBuffer
	firstByte        [1]byte
	firstByteUnread  bool
	maxBytes         int
	retryInterrupted bool // a read inside a message is retried when its deadline passes
}

// Read reads from the connection for the buffer. When the deadline passes and retryInterrupted is set, it clears the
// deadline and retries.
func (s *messageReader) Read(p []byte) (int, error) {
	if s.firstByteUnread {
		s.firstByteUnread = false
		p[0] = s.firstByte[0]
		return 1, nil
	}
	for {
		n, err := s.conn.Read(p)
		if n > 0 || !s.retryInterrupted || !isTimeout(err) {
			return n, err
		}
		if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
			return 0, errors.Wrap(err, "clearing the read deadline")
		}
	}
}

// next returns the next message, or errInterrupted when the read deadline passes between two messages.
func (s *messageReader) next() (message, error) {
	if err := s.awaitMessage(); err != nil {
		return message{}, err
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.buffer.reader, header[:]); err != nil {
		return message{}, errors.Wrap(err, "reading a message's header")
	}
	length := int64(binary.BigEndian.Uint32(header[1:]))
	if length < lengthBytes {
		return message{}, newProtocolViolation("message %q has the invalid length %d", header[0], length)
	}
	if length > int64(s.maxBytes) {
		return message{}, newProtocolViolation("message %q of %d bytes exceeds the limit of %d bytes", header[0], length, s.maxBytes)
	}
	body, err := s.readBody(int(length) - lengthBytes)
	return message{kind: header[0], body: body}, err
}

// startupPacket returns the bytes of a start-up packet, including its length.
func (s *messageReader) startupPacket() ([]byte, error) {
	if err := s.awaitMessage(); err != nil {
		return nil, err
	}
	var header [lengthBytes]byte
	if _, err := io.ReadFull(s.buffer.reader, header[:]); err != nil {
		return nil, errors.Wrap(err, "reading the length of a start-up packet")
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < 2*lengthBytes || length > maxStartupBytes {
		return nil, newProtocolViolation("start-up packet has the invalid length %d", length)
	}
	body, err := s.readBody(int(length) - lengthBytes)
	return append(header[:], body...), err
}

// awaitMessage waits for the first byte of a message and then takes a buffer from the pool.
func (s *messageReader) awaitMessage() error {
	if s.buffer != nil && s.buffer.reader.Buffered() > 0 {
		return nil
	}
	s.releaseBuffer()
	n, err := s.conn.Read(s.firstByte[:])
	if n == 0 {
		if isTimeout(err) {
			return errInterrupted
		}
		return errors.Wrap(err, "waiting for a message")
	}
	s.firstByteUnread = true
	s.buffer = s.pool.Get().(*readBuffer)
	s.buffer.reader.Reset(s)
	return nil
}

func (s *messageReader) readBody(length int) ([]byte, error) {
	if length > maxPreallocatedBytes {
		return s.readLargeBody(length)
	}
	body := s.buffer.body(length)
	_, err := io.ReadFull(s.buffer.reader, body)
	return body, errors.Wrap(err, "reading a message's body")
}

// readLargeBody allocates memory only as the bytes arrive.
func (s *messageReader) readLargeBody(length int) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.CopyN(&body, s.buffer.reader, int64(length))
	return body.Bytes(), errors.Wrap(err, "reading a message's body")
}

// releaseBuffer returns the buffer to the pool; an idle connection holds none.
func (s *messageReader) releaseBuffer() {
	if s.buffer == nil {
		return
	}
	s.buffer.reader.Reset(nil)
	s.pool.Put(s.buffer)
	s.buffer = nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
