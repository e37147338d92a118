package fakedb

import (
	"encoding/json"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// replicationQuery asks a primary to stream its log.
const replicationQuery = "START_REPLICATION"

// replicationRequest is the first message of a replica.
type replicationRequest struct {
	Target     types.TargetID `json:"target"`
	Term       types.Term     `json:"term"`
	TermRanges []termRange    `json:"runs"`
}

// primaryMessage is a message of a primary; one without entries is a heartbeat.
type primaryMessage struct {
	// Match is set in the first message only: the last position up to which the logs are equal.
	Match   *types.Position `json:"match,omitempty"`
	Entries []entry         `json:"entries,omitempty"`
}

// acknowledgement tells the primary how much of its log a replica has received.
type acknowledgement struct {
	Position types.Position `json:"position"`
}

func encodeMessage(frame any) ([]byte, error) {
	data, err := json.Marshal(frame)
	return data, errors.Wrap(err, "encoding a replication message")
}

func decodeMessage(data []byte, frame any) error {
	return errors.Wrap(json.Unmarshal(data, frame), "decoding a replication message")
}
