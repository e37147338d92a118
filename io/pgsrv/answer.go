package pgsrv

// answer is what the owner still owes for a batch.
type answer struct {
	pendingParses   []pendingParse
	endSent         bool   // the end of the batch has been sent
	errorSent       bool   // the caller has been told an error and ReadyForQuery is due at the end of the batch
	singleStatement string // the statement when the batch runs exactly one
	commandTag      string // the last command's tag
	status          byte
	done            chan struct{}
}

func newAnswer() *answer { return &answer{done: make(chan struct{})} }

// isDone reports whether the whole answer has been written.
func (a *answer) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// takeParseComplete takes the next expected ParseComplete and reports whether the caller gets it.
func (a *answer) takeParseComplete() (relay, expected bool) {
	if len(a.pendingParses) == 0 {
		return false, false
	}
	p := a.pendingParses[0]
	a.pendingParses = a.pendingParses[1:]
	p.statement.confirmed = true
	return !p.injected, true
}
