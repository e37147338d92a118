package pgsrv_test

import (
	"sync"

	"turmericpulley/io/wire"
)

// record collects what the owners saw.
type record struct {
	mutex      sync.Mutex
	begins     []*wire.Begin
	statements []string
	named      []string
	ended      int
	cancels    int
	largest    int // payload
}

func (r *record) add(f func(*record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(r)
}

func (r *record) snapshot() record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return record{begins: r.begins, statements: r.statements, named: r.named, ended: r.ended, cancels: r.cancels, largest: r.largest}
}
