package pgsrv

// Kinds of messages that callers send.
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

// Kinds of messages that targets answer.
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

// Objects that Describe and Close name.
const (
	objectStatement byte = 'S'
	objectPortal    byte = 'P'
)

// States of a transaction in ReadyForQuery.
const (
	statusIdle              byte = 'I'
	statusInTransaction     byte = 'T'
	statusFailedTransaction byte = 'E'
)
