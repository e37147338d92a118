package pgsrv

import (
	"time"

	"turmericpulley/core/types"
)

// batch is a simple query, or the messages of the extended query protocol up to Sync, with the proxy's own answers to them.
type batch struct {
	start           time.Time
	requestID       types.RequestID    // of the transaction that the batch opened or failed to open; zero when it needed none
	payload         []byte             // messages that have not been sent yet
	parses          []pendingParse     // Parse messages in the payload
	callerParses    []pendingParse     // all Parse messages that the caller sent in this batch
	localReply      reply              // answers of the proxy itself
	portals         map[string]command // portals of statements that the proxy answers
	targetUnnamed   *statement         // the caller's statement that is the target's unnamed statement after the messages so far
	firstText       string             // text of the first statement
	lastText        string             // text of the statement bound last
	executeCount    int
	heldBytes       int  // size of the statements that the batch has removed, which its answer still needs, and of its portals
	pendingCloses   int  // Close messages to be answered by the target or the proxy, whichever handles the batch
	usesTarget      bool // at least one message is for the target
	sent            bool // a part has been sent to the owner
	answeredLocally bool // the proxy answers at least one message
	skipping        bool // an error has been sent; messages up to Sync are ignored
}

func newBatch() *batch { return &batch{start: time.Now()} }

// recordStatement records the text of a statement that the batch runs.
func (b *batch) recordStatement(text string) {
	if b.firstText == "" {
		b.firstText = text
	}
	b.lastText = text
}

// singleStatement returns the statement's text when the batch runs exactly one statement, and an empty string otherwise.
func (b *batch) singleStatement() string {
	if b.executeCount != 1 {
		return ""
	}
	return b.lastText
}
