package pgsrv

// MaxStatements bounds the prepared statements of one connection.
const MaxStatements = 4096

// statement is a prepared statement that a connection keeps for its caller.
type statement struct {
	text           string
	parameterTypes []uint32
	command        command // not nil when the proxy answers the statement itself
	confirmed      bool    // written by the relay before its batch is done
}
