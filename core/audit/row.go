package audit

import "turmericpulley/core/types"

// Key identifies a row within its database.
type Key string

// Value is a version of a row, a value of a counter or an amount added to one.
type Value int64

// Row identifies a row across databases.
type Row struct {
	Database types.DatabaseID
	Key      Key
}
