package pgsrv

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// appendParse appends a Parse of the unnamed statement.
func appendParse(dst []byte, s *statement) []byte {
	return appendMessage(dst, &pgproto3.Parse{Query: s.text, ParameterOIDs: s.parameterTypes})
}

// appendBind appends a Bind that refers to the unnamed statement instead of a named one.
func appendBind(dst, body []byte, portal, name string) []byte {
	rest := body[len(portal)+1+len(name)+1:]
	renamed := make([]byte, 0, len(body)-len(name))
	renamed = append(renamed, portal...)
	renamed = append(renamed, 0, 0)
	renamed = append(renamed, rest...)
	return message{messageType: typeBind, body: renamed}.appendTo(dst)
}

// appendDescribeUnnamed appends a Describe of the unnamed statement.
func appendDescribeUnnamed(dst []byte) []byte {
	return appendMessage(dst, &pgproto3.Describe{ObjectType: objectStatement})
}

// appendCloseUnnamed appends a Close of the unnamed statement.
func appendCloseUnnamed(dst []byte) []byte {
	return appendMessage(dst, &pgproto3.Close{ObjectType: objectStatement})
}

func appendMessage(dst []byte, m pgproto3.FrontendMessage) []byte {
	data, err := m.Encode(dst)
	if err != nil {
		return dst // encoding fails only above the protocol's size limit, and the caller's message was smaller
	}
	return data
}
