package wire

import (
	"time"

	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
)

// EncodeStatement returns the message of a statement without its minimum position and term, which only the owner sets.
func EncodeStatement(s stmt.Statement) *StatementText {
	return &StatementText{
		Id: s.ID, Kind: uint32(s.Kind), Name: s.Name, Access: uint32(s.Access), Shape: s.Shape,
		Arguments: s.Arguments, Value: s.Value,
	}
}

// DecodeStatement returns the statement of a message.
func DecodeStatement(m *StatementText) stmt.Statement {
	return stmt.Statement{
		ID: m.GetId(), Kind: stmt.Kind(m.GetKind()), Name: m.GetName(), Access: stmt.Access(m.GetAccess()),
		Shape: m.GetShape(), Arguments: m.GetArguments(), Value: m.GetValue(),
	}
}

// EncodeReply returns the message of a reply.
func EncodeReply(r stmt.Reply) *WorkReply {
	return &WorkReply{
		Rows: r.Rows, Signature: r.Signature, Code: string(r.Code), Text: r.Text, State: uint32(r.State),
		Term: uint64(r.Position.Term), Number: uint64(r.Position.Number), OverLimitMs: uint32(r.OverLimit.Milliseconds()),
	}
}

// DecodeReply returns the reply of a message.
func DecodeReply(m *WorkReply) stmt.Reply {
	return stmt.Reply{
		Rows: m.GetRows(), Signature: m.GetSignature(), Code: stmt.Code(m.GetCode()), Text: m.GetText(), State: stmt.State(m.GetState()),
		Position:  types.LogPosition{Term: types.Term(m.GetTerm()), Number: types.Position(m.GetNumber())},
		OverLimit: time.Duration(m.GetOverLimitMs()) * time.Millisecond,
	}
}
