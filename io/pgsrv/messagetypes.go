package pgsrv

// Types of messages from callers.
const (
	typeBind      byte = 'B'
	typeClose     byte = 'C'
	typeCopyData  byte = 'd'
	typeCopyDone  byte = 'c'
	typeCopyFail  byte = 'f'
	typeDescribe  byte = 'D'
	typeExecute   byte = 'E'
	typeFlush     byte = 'H'
	typeParse     byte = 'P'
	typeQuery     byte = 'Q'
	typeSync      byte = 'S'
	typeTerminate byte = 'X'
)

// Types of messages from targets.
const (
	typeCommandComplete byte = 'C'
	typeCopyBoth        byte = 'W'
	typeCopyIn          byte = 'G'
	typeNotice          byte = 'N'
	typeNotification    byte = 'A'
	typeParameterStatus byte = 'S'
	typeErrorResponse   byte = 'E'
	typeParseComplete   byte = '1'
	typeReadyForQuery   byte = 'Z'
)

// Object types in Describe and Close.
const (
	objectStatement byte = 'S'
	objectPortal    byte = 'P'
)

// Transaction statuses in ReadyForQuery.
const (
	statusIdle              byte = 'I'
	statusInTransaction     byte = 'T'
	statusFailedTransaction byte = 'E'
)
