package pgsrv

import "encoding/binary"

const (
	headerBytes = 5
	lengthBytes = 4
)

// message is a message of the PostgreSQL protocol; its body is valid until the next message is read.
type message struct {
	messageType byte // such as typeQuery
	body        []byte
	encoded     []byte // the whole message, when it is large and has memory of its own
}

// appendTo appends the encoded message.
func (m message) appendTo(dst []byte) []byte {
	dst = append(dst, m.messageType)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(m.body)+lengthBytes))
	return append(dst, m.body...)
}
