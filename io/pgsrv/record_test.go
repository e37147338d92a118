package pgsrv_test

import (
	"sync"

	"turmericpulley/io/wire"
)

// ownerLog records what the scripted owners received.
type ownerLog struct {
	mutex      sync.Mutex
	begins     []*wire.Begin
	statements []string
	names      []string // of named statements
	ended      int
	cancels    int
	maxPayload int // bytes
}

func (r *ownerLog) add(f func(*ownerLog)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(r)
}

func (r *ownerLog) snapshot() ownerLog {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return ownerLog{begins: r.begins, statements: r.statements, names: r.names, ended: r.ended, cancels: r.cancels, maxPayload: r.maxPayload}
}
