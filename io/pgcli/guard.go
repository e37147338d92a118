package pgcli

import "github.com/pkg/errors"

// guard closes the unnamed statement, which no batch uses after its end, and asks for a ReadyForQuery of its own.
const guard = "C\x00\x00\x00\x06S\x00S\x00\x00\x00\x04"

// ErrMisplacedAnswer means that the answers on a connection no longer match the requests; the connection must be closed.
var ErrMisplacedAnswer = errors.New("target sent an answer that does not belong to the request")

// AppendGuard appends a guard to the end of a batch. It changes nothing and is answered like no statement, so that ReadGuard finds out whether the
// answer before it was the batch's.
func AppendGuard(batch []byte) []byte { return append(batch, guard...) }

// ReadGuard reads the answer to a guard, which has to have the transaction status of the batch before it.
func (c *Conn) ReadGuard(status byte) error {
	for _, expected := range [...]byte{typeCloseComplete, TypeReadyForQuery} {
		m, err := c.readSynchronous()
		if err != nil {
			return err
		}
		if m.Type != expected {
			return ErrMisplacedAnswer
		}
		if expected != TypeReadyForQuery {
			continue
		}
		if got, err := m.status(); err != nil || got != status {
			return ErrMisplacedAnswer
		}
	}
	return nil
}

// readSynchronous returns the next message that is no notice.
func (c *Conn) readSynchronous() (Message, error) {
	for {
		m, err := c.readAnswer()
		if err != nil || m.Type != TypeNotice {
			return m, err
		}
	}
}
