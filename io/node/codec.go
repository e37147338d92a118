package node

import (
	"time"

	"turmericpulley/core/place"
	"turmericpulley/core/stmt"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

func encodeWork(database types.DatabaseID, w group.Request) *wire.Work {
	message := &wire.Work{
		Database: string(database), Inside: w.InTransaction, Opens: w.BeginsReadWrite, OpensRead: w.BeginsReadOnly, Abandon: w.Rollback,
		OwnTerm: uint64(w.LastCommit.Term), OwnNumber: uint64(w.LastCommit.Number), ObjectiveMs: int32(w.Objective.Milliseconds()),
		LimitMs: uint32(max(0, w.Timeout.Milliseconds())), Priority: uint32(max(0, w.Priority)), WorkClass: string(w.Class),
		Statement: encodeStatement(w.Statement), ValuesFollow: w.Values != nil,
	}
	if w.AllowReplicas {
		age := uint32(w.MaxAge.Milliseconds())
		message.MaxAgeMs = &age
	}
	for name, value := range w.Values {
		message.Values = append(message.Values, &wire.SessionValue{Name: name, Value: value})
	}
	return message
}

func decodeWork(m *wire.Work) group.Request {
	w := group.Request{
		Statement: decodeStatement(m.GetStatement()), InTransaction: m.GetInside(), BeginsReadWrite: m.GetOpens(), BeginsReadOnly: m.GetOpensRead(),
		Rollback: m.GetAbandon(), AllowReplicas: m.MaxAgeMs != nil, MaxAge: time.Duration(m.GetMaxAgeMs()) * time.Millisecond,
		LastCommit: types.LogPosition{Term: types.Term(m.GetOwnTerm()), Number: types.Position(m.GetOwnNumber())},
		Objective:  time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		Timeout:    time.Duration(m.GetLimitMs()) * time.Millisecond,
		Priority:   int(m.GetPriority()), Class: place.Class(m.GetWorkClass()),
	}
	if m.GetValuesFollow() {
		w.Values = make(map[string]string, len(m.GetValues()))
		for _, v := range m.GetValues() {
			w.Values[v.GetName()] = v.GetValue()
		}
	}
	return w
}

func encodeStatement(s stmt.Statement) *wire.StatementText {
	return &wire.StatementText{
		Id: s.ID, Kind: uint32(s.Kind), Name: s.Name, Access: uint32(s.Access), Shape: s.Shape, Item: s.Item, Data: s.Data,
	}
}

func decodeStatement(m *wire.StatementText) stmt.Statement {
	return stmt.Statement{
		ID: m.GetId(), Kind: stmt.Kind(m.GetKind()), Name: m.GetName(), Access: stmt.Access(m.GetAccess()),
		Shape: m.GetShape(), Item: m.GetItem(), Data: m.GetData(),
	}
}

func encodeReply(r stmt.Reply) *wire.WorkReply {
	return &wire.WorkReply{
		Rows: r.Rows, Signature: r.Signature, Code: string(r.Code), Text: r.Text, State: uint32(r.State),
		Term: uint64(r.Position.Term), Number: uint64(r.Position.Number),
	}
}

func decodeReply(m *wire.WorkReply) stmt.Reply {
	return stmt.Reply{
		Rows: m.GetRows(), Signature: m.GetSignature(), Code: stmt.Code(m.GetCode()), Text: m.GetText(),
		State:    stmt.State(m.GetState()),
		Position: types.LogPosition{Term: types.Term(m.GetTerm()), Number: types.Position(m.GetNumber())},
	}
}
