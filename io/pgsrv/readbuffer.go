package pgsrv

import (
	"bufio"
	"sync"
)

const readBufferBytes = 8 << 10

// readBuffer holds the memory that a connection uses while messages arrive.
type readBuffer struct {
	reader  *bufio.Reader
	scratch []byte
}

func newReadBufferPool() *sync.Pool {
	return &sync.Pool{New: func() any { return &readBuffer{reader: bufio.NewReaderSize(nil, readBufferBytes)} }}
}

// body returns room for a body of the length, valid until the next call.
func (b *readBuffer) body(length int) []byte {
	if cap(b.scratch) < length {
		b.scratch = make([]byte, length)
	}
	return b.scratch[:length]
}
