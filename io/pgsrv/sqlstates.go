package pgsrv

// SQLSTATEs of errors without a fault kind, severities of errors and command tags.
const (
	sqlStateDuplicateStatement  = "42P05"
	sqlStateFailedTransaction   = "25P02"
	sqlStateFeatureNotSupported = "0A000"
	sqlStateInvalidParameter    = "22023"
	sqlStateLimitExceeded       = "53400"
	sqlStateOutOfMemory         = "53200"
	sqlStateProtocolViolation   = "08P01"
	sqlStateTooManyConnections  = "53300"
	sqlStateUnknownStatement    = "26000"
	sqlStateUnknownSetting      = "42704"
	severityError               = "ERROR"
	severityFatal               = "FATAL"
	tagRollback                 = "ROLLBACK"
	tagSet                      = "SET"
	tagReset                    = "RESET"
	tagShow                     = "SHOW"
	tagDiscardAll               = "DISCARD ALL"
)
