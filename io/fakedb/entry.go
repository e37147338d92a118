package fakedb

import (
	"time"

	"turmericpulley/core/types"
)

// entry is one committed transaction in the log.
type entry struct {
	Position types.Position `json:"position"`
	Term     types.Term     `json:"term"`
	// AppendedAt is when the primary appended it, in nanoseconds since the Unix epoch.
	AppendedAt int64    `json:"appendedAt"`
	Changes    []change `json:"changes"`

	receivedAt time.Time
}

// change is the new state of one row.
type change struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}
