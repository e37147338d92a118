package pgsrv

// MaxStatements is the maximum number of prepared statements of a connection.
const MaxStatements = 4096

// MaxStatementBytes is the maximum size of the prepared statements of a connection, including those that its batch has replaced.
const MaxStatementBytes = 32 << 20

// statement is a prepared statement that a connection keeps for its caller.
type statement struct {
	text           string
	parameterTypes []uint32
	command        command // nil when the statement goes to the target
	confirmed      bool    // the target has accepted it; set by the relaying goroutine before the batch's answer is done
}

// size returns the bytes that the caller chose.
func (s *statement) size(name string) int { return len(name) + len(s.text) + 4*len(s.parameterTypes) }
