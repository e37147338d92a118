package pgsrv

// pendingParse is a Parse message that the target has not confirmed with ParseComplete.
type pendingParse struct {
	name      string
	statement *statement
	injected  bool // sent by the proxy, so that its ParseComplete is not relayed
}
