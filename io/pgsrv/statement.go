package pgsrv

// MaxStatements is the maximum number of prepared statements of a connection.
const MaxStatements = 4096

// statement is a prepared statement that a connection keeps for its caller.
type statement struct {
	text           string
	parameterTypes []uint32
	command        command // nil when the statement goes to the target
	confirmed      bool    // the target has accepted it; set by the relaying goroutine before the batch's answer is done
}
