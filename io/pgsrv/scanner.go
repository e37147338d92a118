package pgsrv

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// messageScanner walks over the encoded messages of a payload without decoding them.
type messageScanner struct {
	rest []byte
}

// next returns the next message with its whole encoding, and false at the end.
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
	whole := s.rest[:end]
	s.rest = s.rest[end:]
	return message{kind: whole[0], body: whole[headerBytes:]}, whole, true, nil
}
