package pgsrv

import (
	"math"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	settingPrefix     = "pulley."
	settingSession    = "session"
	settingMaxReadAge = "max_read_age"
	settingReadOnly   = "read_only"
	settingRequestKey = "request_key"

	// MaxSessionNameBytes is the maximum length of a session's name.
	MaxSessionNameBytes = 256
	// MaxRequestKeyBytes is the maximum length of a request key.
	MaxRequestKeyBytes = 256
)

// session holds the settings that a caller has made for its transactions.
type session struct {
	name          types.SessionName
	maxReadAge    *time.Duration
	readOnly      bool
	requestKey    types.RequestKey
	startupValues map[string]string // pulley settings of the start-up message
	settings      sessionSettings   // settings of the target
}

// assign sets a pulley setting.
func (s *session) assign(name, value string) error {
	switch name {
	case settingSession:
		return s.assignName(value)
	case settingMaxReadAge:
		return s.assignMaxReadAge(value)
	case settingReadOnly:
		return s.assignReadOnly(value)
	case settingRequestKey:
		return s.assignRequestKey(value)
	default:
		return errUnknownSetting
	}
}

var errUnknownSetting = errors.New("unknown setting; use pulley.session, pulley.max_read_age, pulley.read_only or pulley.request_key")

func (s *session) assignName(value string) error {
	if value == "" || len(value) > MaxSessionNameBytes {
		return errors.Errorf("pulley.session must have 1 to %d bytes", MaxSessionNameBytes)
	}
	s.name = types.SessionName(value)
	return nil
}

func (s *session) assignMaxReadAge(value string) error {
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 || age.Milliseconds() > math.MaxUint32 {
		return errors.Errorf(`pulley.max_read_age must be a duration such as "500ms", not %q`, value)
	}
	s.maxReadAge = &age
	return nil
}

func (s *session) assignReadOnly(value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		s.readOnly = true
	case "off", "false", "no", "0":
		s.readOnly = false
	default:
		return errors.Errorf("pulley.read_only must be on or off, not %q", value)
	}
	return nil
}

func (s *session) assignRequestKey(value string) error {
	if len(value) > MaxRequestKeyBytes {
		return errors.Errorf("pulley.request_key must have at most %d bytes", MaxRequestKeyBytes)
	}
	s.requestKey = types.RequestKey(value)
	return nil
}

// reset restores the value that a pulley setting had after the start-up.
func (s *session) reset(name string) error {
	if value, ok := s.startupValues[name]; ok {
		return s.assign(name, value)
	}
	switch name {
	case settingMaxReadAge:
		s.maxReadAge = nil
	case settingReadOnly:
		s.readOnly = false
	case settingRequestKey:
		s.requestKey = ""
	default:
		return errUnknownSetting
	}
	return nil
}

// show returns the value of a pulley setting.
func (s *session) show(name string) (string, error) {
	switch name {
	case settingSession:
		return string(s.name), nil
	case settingMaxReadAge:
		if s.maxReadAge == nil {
			return "", nil
		}
		return s.maxReadAge.String(), nil
	case settingReadOnly:
		if s.readOnly {
			return "on", nil
		}
		return "off", nil
	case settingRequestKey:
		return string(s.requestKey), nil
	default:
		return "", errUnknownSetting
	}
}

// takeRequestKey returns the request key and clears it, because it applies to a single transaction.
func (s *session) takeRequestKey() types.RequestKey {
	key := s.requestKey
	s.requestKey = ""
	return key
}
