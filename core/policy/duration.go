package policy

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a span of time written in documents as text such as "2s" or "150ms".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(time.Duration(d).String())
	return text, errors.Wrap(err, "encoding a duration")
}

// UnmarshalJSON reads the duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Wrap(err, `a duration must be text such as "2s"`)
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return errors.Wrapf(err, `a duration must be text such as "2s", not %q`, text)
	}
	*d = Duration(value)
	return nil
}
