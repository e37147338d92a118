package pgsrv

// parse is a Parse message whose ParseComplete the target owes.
type parse struct {
	name      string
	statement *statement
	injected  bool // made by the proxy, so that its answer is not relayed
}
