package stmt

import (
	"time"

	"turmericpulley/core/types"
)

// Reply is the complete reply to one statement.
type Reply struct {
	// Rows are the rows as the member sent them.
	Rows []string
	// Signature proves that the member ran the statement; it is empty in replies of the proxy.
	Signature string
	// Code and Text describe a failure.
	Code Code
	Text string
	// OverLimit is how long the caller's account stays over its limit, when that is why the statement was refused.
	OverLimit time.Duration
	// State and Position are those of the connection after the statement; a zero position means that it is unknown.
	State    State
	Position types.LogPosition
}

// Failure returns a reply that reports a failure.
func Failure(code Code, text string) Reply { return Reply{Code: code, Text: text} }
