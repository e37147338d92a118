package pgsrv

import (
	"bufio"
	"sync"
)

const readBufferBytes = 8 << 10

// readBuffer holds the memory that a connection needs while it reads messages.
type readBuffer struct {
	reader  *bufio.Reader
	scratch []byte
}

func newReadBufferPool() *sync.Pool {
	return &sync.Pool{New: func() any { return &readBuffer{reader: bufio.NewReaderSize(nil, readBufferBytes)} }}
}

// body returns a slice of the given length for a message's body, valid until the next call.
func (b *readBuffer) body(length int) []byte {
	if cap(b.scratch) < length {
		b.scratch = make([]byte, length)
	}
	return b.scratch[:length]
}
