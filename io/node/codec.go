package node

import (
	"time"

	"turmericpulley/core/place"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
	"turmericpulley/io/wire"
)

// encodeWork returns the wire message of a request for the owner of the database. MaxAgeMs is set only when replicas may
// serve the request.
func encodeWork(database types.DatabaseID, request group.Request) *wire.Work {
	message := &wire.Work{
		Database: string(database), Inside: request.InTransaction,
		Opens: request.BeginsReadWrite, OpensRead: request.BeginsReadOnly, Abandon: request.Rollback,
		OwnTerm: uint64(request.LastCommit.Term), OwnNumber: uint64(request.LastCommit.Number),
		ObjectiveMs: int32(request.Objective.Milliseconds()), LimitMs: uint32(max(0, request.Timeout.Milliseconds())),
		Priority: uint32(max(0, request.Priority)), WorkClass: string(request.Class),
		Statement: wire.EncodeStatement(request.Statement), ValuesFollow: request.Values != nil, Account: string(request.Account),
	}
	if request.AllowReplicas {
		age := uint32(request.MaxAge.Milliseconds())
		message.MaxAgeMs = &age
	}
	for name, value := range request.Values {
		message.Values = append(message.Values, &wire.SessionValue{Name: name, Value: value})
	}
	return message
}

func decodeWork(message *wire.Work) group.Request {
	request := group.Request{
		Statement: wire.DecodeStatement(message.GetStatement()), InTransaction: message.GetInside(),
		BeginsReadWrite: message.GetOpens(), BeginsReadOnly: message.GetOpensRead(), Rollback: message.GetAbandon(),
		AllowReplicas: message.MaxAgeMs != nil, MaxAge: time.Duration(message.GetMaxAgeMs()) * time.Millisecond,
		LastCommit: types.LogPosition{Term: types.Term(message.GetOwnTerm()), Number: types.Position(message.GetOwnNumber())},
		Objective:  time.Duration(message.GetObjectiveMs()) * time.Millisecond,
		Timeout:    time.Duration(message.GetLimitMs()) * time.Millisecond,
		Priority:   int(message.GetPriority()), Class: place.Class(message.GetWorkClass()),
		Account: types.AccountID(message.GetAccount()),
	}
	if message.GetValuesFollow() {
		request.Values = make(map[string]string, len(message.GetValues()))
		for _, v := range message.GetValues() {
			request.Values[v.GetName()] = v.GetValue()
		}
	}
	return request
}

// encodeItems returns values of the store as they are sent to another instance.
func encodeItems(items []Item) []*wire.StoreItem {
	encoded := make([]*wire.StoreItem, 0, len(items))
	for _, item := range items {
		encoded = append(encoded, &wire.StoreItem{Key: item.Key, Value: item.Value, Revision: uint64(item.Revision), Deleted: item.Deleted})
	}
	return encoded
}

func decodeItems(encoded []*wire.StoreItem) []Item {
	items := make([]Item, 0, len(encoded))
	for _, item := range encoded {
		items = append(items, Item{
			Key: item.GetKey(), Value: item.GetValue(), Revision: types.Revision(item.GetRevision()), Deleted: item.GetDeleted(),
		})
	}
	return items
}
