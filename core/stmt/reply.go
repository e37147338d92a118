package stmt

import "turmericpulley/core/types"

// Reply is the complete answer to one statement.
type Reply struct {
	// Rows are the rows as the member sent them.
	Rows []string
	// Signature is the member's proof that it ran the statement; empty for answers of the proxy.
	Signature string
	// Code and Text describe a failure.
	Code Code
	Text string
	// State and Position are those of the connection after the statement; a zero position is unknown.
	State    State
	Position types.LogPosition
}

// Failure returns an answer that reports a failure.
func Failure(code Code, text string) Reply { return Reply{Code: code, Text: text} }
