package store

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

// DefaultTimeout bounds a call whose settings give no timeout.
const DefaultTimeout = 2 * time.Second

// Settings configures a client.
type Settings struct {
	// Platform is the base URL of the platform, such as "http://127.0.0.1:8500".
	Platform string
	// Timeout bounds each call, beyond the time that a listing asks the platform to wait.
	Timeout time.Duration
	Logger  hclog.Logger
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
