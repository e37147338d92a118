package pgsrv

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// encodedTerminate is what a caller that ends its connection in order sends last.
var encodedTerminate = appendMessage(nil, &pgproto3.Terminate{})

// readAhead buffers what follows the message read last; it returns only when it is interrupted, the buffer is full or the
// connection ends.
func (s *source) readAhead() error {
	s.patient = false
	defer func() { s.patient = true }()
	for {
		_, err := s.buffer.reader.Peek(s.buffer.reader.Buffered() + 1)
		if isTimeout(err) {
			return errInterrupted
		}
		if err != nil {
			return err
		}
	}
}

// endsInOrder reports whether the last bytes that are buffered are a Terminate message.
func (s *source) endsInOrder() bool {
	buffered, err := s.buffer.reader.Peek(s.buffer.reader.Buffered())
	return err == nil && bytes.HasSuffix(buffered, encodedTerminate)
}

// await waits for an answer while it watches for a caller that disconnects behind requests it has pipelined.
func (c *caller) await(a *answer) error {
	c.awaiting.Store(true)
	defer c.awaiting.Store(false)
	for !a.isDone() {
		err := c.source.readAhead()
		switch {
		case errors.Is(err, errInterrupted):
			_ = c.conn.SetReadDeadline(time.Time{})
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && c.source.endsInOrder():
			<-a.done
		default:
			return err
		}
	}
	return nil
}
