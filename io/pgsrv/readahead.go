package pgsrv

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// encodedTerminate is the message with which a caller announces the end of its connection.
var encodedTerminate = appendMessage(nil, &pgproto3.Terminate{})

// readAhead buffers bytes that follow the last message. It returns only when it is interrupted, the buffer is full or the
// connection ends.
func (r *messageReader) readAhead() error {
	r.retryInterrupted = false
	defer func() { r.retryInterrupted = true }()
	for {
		_, err := r.buffer.reader.Peek(r.buffer.reader.Buffered() + 1)
		if isTimeout(err) {
			return errInterrupted
		}
		if err != nil {
			return err
		}
	}
}

// endsWithTerminate reports whether the buffered bytes end with a Terminate message.
func (r *messageReader) endsWithTerminate() bool {
	buffered, err := r.buffer.reader.Peek(r.buffer.reader.Buffered())
	return err == nil && bytes.HasSuffix(buffered, encodedTerminate)
}

// awaitAnswer waits for an answer and reads ahead meanwhile, to notice that the caller disconnects after it has pipelined
// more requests. A caller that sent Terminate before it closed the connection still gets the answer.
func (c *connection) awaitAnswer(a *answer) error {
	c.awaitingAnswer.Store(true)
	defer c.awaitingAnswer.Store(false)
	for !a.isDone() {
		err := c.reader.readAhead()
		switch {
		case errors.Is(err, errInterrupted):
			_ = c.conn.SetReadDeadline(time.Time{})
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, io.EOF) && c.reader.endsWithTerminate():
			<-a.done
		default:
			return err
		}
	}
	return nil
}
