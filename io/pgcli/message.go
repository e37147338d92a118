package pgcli

// Types of messages, and lengths and codes of the protocol.
const (
	TypeCommandComplete  byte = 'C'
	TypeDataRow          byte = 'D'
	TypeEmptyQuery       byte = 'I'
	TypeErrorResponse    byte = 'E'
	TypeParameterStatus  byte = 'S'
	TypeReadyForQuery    byte = 'Z'
	TypeNotice           byte = 'N'
	TypeNotification     byte = 'A'
	typeBackendKeyData   byte = 'K'
	typeAuthentication   byte = 'R'
	messageHeaderBytes        = 5
	messageLengthBytes        = 4
	authenticationOK          = 0
	cancelRequestBytes        = 16
	cancelRequestCode         = 80877102
	backendKeyDataLength      = 8
	authenticationLength      = 4
	parameterStatusParts      = 2
	protocolVersion3          = 196608
	typeQuery            byte = 'Q'
)

// Transaction statuses in ReadyForQuery.
const (
	StatusIdle          byte = 'I'
	StatusInTransaction byte = 'T'
)

// Message is a message from a target, valid until the next read.
type Message struct {
	Type byte
	// Raw is the whole message, including its header.
	Raw []byte
}

// Body returns the message without its header.
func (m Message) Body() []byte { return m.Raw[messageHeaderBytes:] }
