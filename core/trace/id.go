package trace

import (
	"strconv"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	idBase = 16
	idBits = 64
)

// ID is a request id that is written as hexadecimal text.
type ID types.RequestID

// ParseID reads a request id from hexadecimal text.
func ParseID(text string) (ID, error) {
	value, err := strconv.ParseUint(text, idBase, idBits)
	if err != nil {
		return 0, errors.Errorf("request id %q is not 1 to 16 hexadecimal digits", text)
	}
	return ID(value), nil
}

// String returns the id in hexadecimal.
func (i ID) String() string { return strconv.FormatUint(uint64(i), idBase) }

// MarshalText writes the id in hexadecimal.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText reads the id from hexadecimal text.
func (i *ID) UnmarshalText(text []byte) error {
	value, err := ParseID(string(text))
	*i = value
	return err
}
