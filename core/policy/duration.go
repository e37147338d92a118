package policy

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that documents write as text such as "2s" or "150ms".
type Duration time.Duration

// Duration returns the duration as a time.Duration.
func (d Duration) Duration() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	text, err := json.Marshal(time.Duration(d).String())
	return text, errors.Wrap(err, "encoding a duration")
}

// UnmarshalJSON decodes the duration from text.
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
