package pgsrv

// statement is a prepared statement that a connection keeps for its caller.
type statement struct {
	text      string
	types     []uint32
	command   command // not nil when the proxy answers the statement itself
	confirmed bool    // written by the relay before its batch is done
}
