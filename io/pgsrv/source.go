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

// maxPreallocatedBytes is the largest body for which memory is set aside before its bytes arrive.
const maxPreallocatedBytes = 64 << 10

var errInterrupted = errors.New("the wait for the next message was interrupted")

// messageReader reads messages from a connection; it holds a buffer only while bytes wait in it.
type messageReader struct {
	conn             net.Conn
	pool             *sync.Pool
	buffer           *readBuffer
	firstByte        [1]byte
	firstByteUnread  bool
	maxBytes         int
	retryInterrupted bool // reading goes on after an interruption inside a message
}

// Read reads from the connection for the buffer; inside a message it retries after an interruption.
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
		return message{}, newProtocolViolation("message %q has the impossible length %d", header[0], length)
	}
	if length > int64(s.maxBytes) {
		return message{}, newProtocolViolation("message %q of %d bytes is above the limit of %d", header[0], length, s.maxBytes)
	}
	body, err := s.readBody(int(length) - lengthBytes)
	return message{kind: header[0], body: body}, err
}

// startupPacket returns the bytes of a start-up packet, its length included.
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
		return nil, newProtocolViolation("start-up packet has the impossible length %d", length)
	}
	body, err := s.readBody(int(length) - lengthBytes)
	return append(header[:], body...), err
}

// awaitMessage waits for the first byte of a message and takes a buffer when it comes.
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

// readLargeBody takes memory only as the bytes arrive.
func (s *messageReader) readLargeBody(length int) ([]byte, error) {
	var body bytes.Buffer
	_, err := io.CopyN(&body, s.buffer.reader, int64(length))
	return body.Bytes(), errors.Wrap(err, "reading a message's body")
}

// releaseBuffer gives the buffer back; the connection keeps none while it is idle.
func (s *messageReader) releaseBuffer() {
	if s.buffer == nil {
		return
	}
	s.buffer.reader.Reset(nil)
	s.pool.Put(s.buffer)
	s.buffer = nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
