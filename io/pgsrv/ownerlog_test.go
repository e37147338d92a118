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

func (l *ownerLog) update(f func(*ownerLog)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	f(l)
}

func (l *ownerLog) snapshot() ownerLog {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return ownerLog{begins: l.begins, statements: l.statements, names: l.names, ended: l.ended, cancels: l.cancels, maxPayload: l.maxPayload}
}
