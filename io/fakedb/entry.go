package fakedb

import (
	"time"

	"turmericpulley/core/types"
)

// entry is one transaction in the log, or the entry without changes that a new primary appends.
type entry struct {
	Position types.Position `json:"position"`
	Term     types.Term     `json:"term"`
	// AppendedAt is the time at which the primary appended the entry, in nanoseconds since the Unix epoch.
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
