package owner

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxAcceptedSettings bounds the memory of acceptedSettings.
const maxAcceptedSettings = 4096

// acceptedSettings holds the hashes of the SET statements of sessions that a target has accepted before; it is safe for concurrent use.
type acceptedSettings struct {
	mu     sync.Mutex
	hashes map[uint64]struct{}
}

// containAll reports whether the target has accepted all of the statements before.
func (a *acceptedSettings) containAll(statements [][]byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range statements {
		if _, ok := a.hashes[xxhash.Sum64(s)]; !ok {
			return false
		}
	}
	return true
}

// add records that the target has accepted the statements. It forgets the others when there are too many.
func (a *acceptedSettings) add(statements [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hashes == nil || len(a.hashes)+len(statements) > maxAcceptedSettings {
		a.hashes = map[uint64]struct{}{}
	}
	for _, s := range statements {
		a.hashes[xxhash.Sum64(s)] = struct{}{}
	}
}

// forget removes all statements.
func (a *acceptedSettings) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hashes = nil
}
