package pgsrv

// Types of messages from callers.
const (
	kindBind      byte = 'B'
	kindClose     byte = 'C'
	kindCopyData  byte = 'd'
	kindCopyDone  byte = 'c'
	kindCopyFail  byte = 'f'
	kindDescribe  byte = 'D'
	kindExecute   byte = 'E'
	kindFlush     byte = 'H'
	kindParse     byte = 'P'
	kindQuery     byte = 'Q'
	kindSync      byte = 'S'
	kindTerminate byte = 'X'
)

// Types of messages from targets.
const (
	kindCommandComplete byte = 'C'
	kindCopyBoth        byte = 'W'
	kindCopyIn          byte = 'G'
	kindNotice          byte = 'N'
	kindNotification    byte = 'A'
	kindParameterStatus byte = 'S'
	kindErrorResponse   byte = 'E'
	kindParseComplete   byte = '1'
	kindReadyForQuery   byte = 'Z'
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
