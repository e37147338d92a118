package pgsrv

// pendingParse is a Parse message whose ParseComplete the target owes.
type pendingParse struct {
	name      string
	statement *statement
	injected  bool // made by the proxy, so that its answer is not relayed
}
