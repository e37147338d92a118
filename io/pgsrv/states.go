package pgsrv

// SQLSTATEs of errors that have no fault kind.
const (
	stateDuplicateStatement  = "42P05"
	stateFailedTransaction   = "25P02"
	stateFeatureNotSupported = "0A000"
	stateInvalidParameter    = "22023"
	stateLimitExceeded       = "53400"
	stateProtocolViolation   = "08P01"
	stateTooManyConnections  = "53300"
	stateUnknownStatement    = "26000"
	stateUnrecognisedSetting = "42704"
	severityError            = "ERROR"
	severityFatal            = "FATAL"
	tagRollback              = "ROLLBACK"
	tagSet                   = "SET"
	tagReset                 = "RESET"
	tagShow                  = "SHOW"
	tagDiscardAll            = "DISCARD ALL"
)
