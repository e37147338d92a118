package pgsrv

// pendingParse is a Parse message that the target has to confirm with ParseComplete.
type pendingParse struct {
	name      string // the caller's name of the statement; only set in callerParses
	statement *statement
	injected  bool // sent by the proxy; its ParseComplete is not relayed to the caller
}
