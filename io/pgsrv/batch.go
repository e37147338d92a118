package pgsrv

import (
	"time"

	"turmericpulley/core/types"
)

// batch collects the messages of a caller up to Sync.
type batch struct {
	start     time.Time
	requestID types.RequestID // of the transaction that the batch opens
	payload   []byte
	parses    []parse
	defined   []parse            // every Parse of the caller in this batch
	local     reply              // answers that the proxy makes itself
	portals   map[string]command // portals of statements that the proxy answers itself
	unnamed   *statement         // what the target's unnamed statement holds
	first     string             // text of the first statement
	last      string             // text of the statement bound last
	executes  int
	closes    int  // Close messages that are answered where the batch goes
	forwards  bool // something goes to the target
	sent      bool // some of it has been sent
	answers   bool // something is answered by the proxy
	skipping  bool // an error has been answered; the rest is skipped up to Sync
}

func newBatch() *batch { return &batch{start: time.Now()} }

// bind notes a statement that the batch refers to.
func (b *batch) bind(text string) {
	if b.first == "" {
		b.first = text
	}
	b.last = text
}

// only returns the statement's text when the batch runs exactly one.
func (b *batch) only() string {
	if b.executes != 1 {
		return ""
	}
	return b.last
}
