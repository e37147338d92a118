package pgsrv

// answer tracks the answer to a batch that was sent to the owner.
type answer struct {
	pendingParses   []pendingParse
	endSent         bool          // the proxy has sent the end of the batch to the owner, or is sending it
	errorSent       bool          // the proxy has sent the caller an error; ReadyForQuery follows at the end of the batch
	singleStatement string        // the statement's text when the batch runs exactly one
	commandTag      string        // tag of the last command
	status          byte          // of ReadyForQuery; zero when the answer is incomplete
	done            chan struct{} // closed when the answer is complete or the transaction has ended without one
}

func newAnswer() *answer { return &answer{done: make(chan struct{})} }

// isDone reports whether the answer is complete or the transaction has ended without one.
func (a *answer) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// takeParseComplete handles a ParseComplete. It reports whether the message is relayed to the caller and whether one was
// expected.
func (a *answer) takeParseComplete() (relay, expected bool) {
	if len(a.pendingParses) == 0 {
		return false, false
	}
	p := a.pendingParses[0]
	a.pendingParses = a.pendingParses[1:]
	p.statement.confirmed = true
	return !p.injected, true
}
