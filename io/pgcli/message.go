package pgcli

import "github.com/pkg/errors"

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
	typeCloseComplete    byte = '3'
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
	statusFailed        byte = 'E'
)

// Message is a message from a target, valid until the next read.
type Message struct {
	Type byte
	// Raw is the whole message, including its header.
	Raw []byte
}

// Body returns the message without its header.
func (m Message) Body() []byte { return m.Raw[messageHeaderBytes:] }

// status returns the transaction status of a ReadyForQuery.
func (m Message) status() (byte, error) {
	if body := m.Body(); len(body) == 1 {
		switch body[0] {
		case StatusIdle, StatusInTransaction, statusFailed:
			return body[0], nil
		}
	}
	return 0, errors.New("target sent ReadyForQuery without a transaction status; check that the address is that of a database member")
}
