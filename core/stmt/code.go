package stmt

// Code is the reason for which a statement did not succeed.
type Code string

const (
	// OK marks success.
	OK Code = ""
	// Overloaded means that the statement was not run for lack of capacity.
	Overloaded Code = "overloaded"
	// RolledBack means that the transaction was rolled back.
	RolledBack Code = "rolledBack"
	// Behind means that the member's log does not reach the requested position; nothing ran.
	Behind Code = "behind"
	// ReadOnly means that the member is not the primary; nothing ran.
	ReadOnly Code = "readOnly"
	// WrongTarget means that another member or database answers at the address; nothing ran.
	WrongTarget Code = "elsewhere"
	// TooManyConnections means that the member accepts no more connections.
	TooManyConnections Code = "tooManyConnections"
	// Failed means that the member ran the statement and it failed.
	Failed Code = "failed"
	// UnknownStatement means that no statement is prepared under the name; nothing ran.
	UnknownStatement Code = "unknownStatement"
	// TimedOut means that the statement exceeded its time limit and may have run.
	TimedOut Code = "timedOut"
	// UnknownDatabase means that no route has the name of the database.
	UnknownDatabase Code = "unknownDatabase"
	// TooLarge means that a message exceeds its limit.
	TooLarge Code = "tooLarge"
	// Malformed means that a message cannot be parsed or is not allowed in the state of the session.
	Malformed Code = "malformed"
	// OutcomeUnknown means that a write was sent and no reply arrived.
	OutcomeUnknown Code = "outcomeUnknown"
	// Unauthorised means that the caller may not connect.
	Unauthorised Code = "unauthorised"
)

// NotRun reports whether a member that replies with the code has run nothing.
func (c Code) NotRun() bool {
	switch c {
	case Overloaded, Behind, ReadOnly, WrongTarget, TooManyConnections, UnknownStatement:
		return true
	default:
		return false
	}
}
