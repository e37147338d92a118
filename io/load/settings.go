package load

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// Settings describes the load to generate.
type Settings struct {
	// Addresses lists the addresses on which the instances accept callers.
	Addresses []string
	Workload  Workload
	Customer  types.AccountID
	Databases []types.DatabaseID
	Rate      Rate
	// Duration is the time in which new requests start.
	Duration time.Duration
	Sessions int
	// Connections is the number of concurrent callers of each session.
	Connections int
	// RequestsPerInstance is the number of requests after which a caller switches to another instance; zero disables switching.
	RequestsPerInstance int
	// WriteShare is the share of requests that write, from 0 to 1.
	WriteShare float64
	// RequestTimeout is the longest time that a caller spends on one request, retries included.
	RequestTimeout time.Duration
	// RequestKeys sends writes with a request key and retries those with an unknown outcome.
	RequestKeys bool
	// Prepared makes connections prepare each statement once; instances count each preparation as a request.
	Prepared bool
	// Seed determines the requests and their intended starts.
	Seed uint64
	// ReadCounter selects how the share of replica reads is determined; nil leaves it unknown.
	ReadCounter ReadCounter
	// Progress receives a status line each second; nil disables it.
	Progress io.Writer
}

// check returns an error that names the first setting that cannot be used.
func (s Settings) check() error {
	if _, err := s.Workload.classes(); err != nil {
		return err
	}
	switch {
	case len(s.Addresses) == 0:
		return errors.New("no addresses of instances: give at least one")
	case len(s.Databases) == 0:
		return errors.New("no databases: give at least one")
	case s.Customer == "":
		return errors.New("no customer: give the user name that the contract is for")
	case s.Rate <= 0:
		return errors.Errorf("rate %v is not above zero: give requests per second", s.Rate)
	case s.Duration <= 0:
		return errors.Errorf("duration %v is not above zero", s.Duration)
	case s.Sessions < 1 || s.Connections < 1:
		return errors.New("sessions and connections per session must be at least one")
	case s.WriteShare < 0 || s.WriteShare > 1:
		return errors.Errorf("write share %v is outside 0 to 1", s.WriteShare)
	case s.RequestTimeout <= 0:
		return errors.Errorf("request timeout %v is not above zero", s.RequestTimeout)
	}
	return nil
}
