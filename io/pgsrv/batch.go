package pgsrv

import (
	"time"

	"turmericpulley/core/types"
)

// batch collects the messages of a caller up to Sync.
type batch struct {
	start           time.Time
	requestID       types.RequestID // of the transaction that the batch opens
	payload         []byte
	parses          []pendingParse
	callerParses    []pendingParse     // every Parse of the caller in this batch
	localReply      reply              // answers that the proxy makes itself
	portals         map[string]command // portals of statements that the proxy answers itself
	targetUnnamed   *statement         // what the target's unnamed statement holds
	firstText       string             // text of the first statement
	lastText        string             // text of the statement bound last
	executeCount    int
	pendingCloses   int  // Close messages that are answered where the batch goes
	usesTarget      bool // something goes to the target
	sent            bool // some of it has been sent
	answeredLocally bool // something is answered by the proxy
	skipping        bool // an error has been answered; the rest is skipped up to Sync
}

func newBatch() *batch { return &batch{start: time.Now()} }

// recordStatement notes a statement that the batch refers to.
func (b *batch) recordStatement(text string) {
	if b.firstText == "" {
		b.firstText = text
	}
	b.lastText = text
}

// singleStatement returns the statement's text when the batch runs exactly one.
func (b *batch) singleStatement() string {
	if b.executeCount != 1 {
		return ""
	}
	return b.lastText
}
