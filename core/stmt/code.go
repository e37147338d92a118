package stmt

// Code says why a statement was not answered with success.
type Code string

const (
	// OK marks success.
	OK Code = ""
	// Overloaded says that the statement has not run for want of capacity.
	Overloaded Code = "overloaded"
	// RolledBack says that nothing of the transaction is kept.
	RolledBack Code = "rolledBack"
	// Behind says that the member's log lacks the position asked for; nothing ran.
	Behind Code = "behind"
	// ReadOnly says that the member is no primary; nothing ran.
	ReadOnly Code = "readOnly"
	// WrongTarget says that another member or database answers at the address; nothing ran.
	WrongTarget Code = "elsewhere"
	// TooManyConnections says that the member takes no further connection.
	TooManyConnections Code = "tooManyConnections"
	// Failed says that the member ran the statement and it failed.
	Failed Code = "failed"
	// UnknownStatement says that no statement is prepared under the name; nothing ran.
	UnknownStatement Code = "unknownStatement"
	// TimedOut says that the statement exceeded its time limit and may have run.
	TimedOut Code = "timedOut"
	// UnknownDatabase says that no route has the name.
	UnknownDatabase Code = "unknownDatabase"
	// TooLarge says that a message exceeds its limit.
	TooLarge Code = "tooLarge"
	// Malformed says that a message cannot be understood or is not allowed now.
	Malformed Code = "malformed"
	// OutcomeUnknown says that a write was sent and its answer is missing.
	OutcomeUnknown Code = "outcomeUnknown"
	// Unauthorised says that the caller may not connect.
	Unauthorised Code = "unauthorised"
)

// NotRun reports whether a member that answers with the code has run nothing.
func (c Code) NotRun() bool {
	switch c {
	case Overloaded, Behind, ReadOnly, WrongTarget, TooManyConnections, UnknownStatement:
		return true
	default:
		return false
	}
}
