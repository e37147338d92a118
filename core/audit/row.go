package audit

import (
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Key identifies a row within its database.
type Key string

// Value is a version of a row, a value of a counter or an amount added to one.
type Value int64

// Row identifies a row across databases.
type Row struct {
	Database types.DatabaseID
	Key      Key
}

// ParseValue reads a value from text, as databases return it.
func ParseValue(text string) (Value, error) {
	value, err := strconv.ParseInt(text, 10, 64)
	return Value(value), errors.Wrapf(err, "value %q is not a number", text)
}

// String returns the value in decimal.
func (v Value) String() string { return strconv.FormatInt(int64(v), 10) }
