package pgsrv

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// messageScanner splits a payload into its encoded messages without decoding them.
type messageScanner struct {
	rest []byte
}

// next returns the next message and its encoding; the boolean is false at the end of the payload.
func (s *messageScanner) next() (message, []byte, bool, error) {
	if len(s.rest) == 0 {
		return message{}, nil, false, nil
	}
	if len(s.rest) < headerBytes {
		return message{}, nil, false, errors.New("payload ends inside a message's header")
	}
	end := int64(binary.BigEndian.Uint32(s.rest[1:headerBytes])) + 1
	if end < headerBytes || end > int64(len(s.rest)) {
		return message{}, nil, false, errors.New("payload ends inside a message")
	}
	encoded := s.rest[:end]
	s.rest = s.rest[end:]
	return message{messageType: encoded[0], body: encoded[headerBytes:]}, encoded, true, nil
}
