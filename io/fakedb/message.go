package fakedb

import (
	"encoding/json"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// replicationQuery is the query with which a replica asks a primary to stream its log.
const replicationQuery = "START_REPLICATION"

// replicationRequest is the first message of a replica; it describes the replica's log.
type replicationRequest struct {
	Target     types.TargetID `json:"target"`
	Term       types.Term     `json:"term"`
	TermRanges []termRange    `json:"runs"`
}

// primaryMessage is a message of a primary to a replica. A message without Match and without Entries is a heartbeat.
type primaryMessage struct {
	// Match is the last position up to which the two logs are equal. Only the first message has it.
	Match   *types.Position `json:"match,omitempty"`
	Entries []entry         `json:"entries,omitempty"`
}

// acknowledgement is a message of a replica with the last position that it has received.
type acknowledgement struct {
	Position types.Position `json:"position"`
}

func encodeMessage(message any) ([]byte, error) {
	data, err := json.Marshal(message)
	return data, errors.Wrap(err, "encoding a replication message")
}

func decodeMessage(data []byte, message any) error {
	return errors.Wrap(json.Unmarshal(data, message), "decoding a replication message")
}
