package store

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// DefaultTimeout bounds the begin of each response, and each further part of it, when the settings have no timeout.
const DefaultTimeout = 2 * time.Second

// Settings configure a client.
type Settings struct {
	// Platform is the base URL of the platform, such as "http://127.0.0.1:8500".
	Platform string
	// Timeout bounds the begin of each response, in addition to the time that a listing lets the platform wait for a change, and each further
	// part of it.
	Timeout time.Duration
	// Logger receives a message when calls start to fail and when they succeed again; nil disables logging.
	Logger hclog.Logger
}

func (s Settings) withDefaults() Settings {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	return s
}
