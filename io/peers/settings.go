package peers

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// Settings configure a Service.
type Settings struct {
	// Self describes this instance. An incarnation of zero is replaced by the current Unix time in milliseconds. A peer
	// address that is empty or has port zero is replaced by the address that the service listens on.
	Self fleet.Instance
	// Region is the region whose membership the instance joins.
	Region types.Region
	// Seeds are the peer addresses to contact while the membership is not known.
	Seeds []string
	// Store is the platform's key-value service.
	Store Store
	// Listen is the address to listen on; the peer address of Self when empty.
	Listen string
	// Logger receives changes of state; nil disables logging.
	Logger hclog.Logger
	// DialAddress maps a peer address to the address to dial; nil dials the peer address itself.
	DialAddress func(address string) string
}

// complete validates the settings and fills in the defaults.
func (s Settings) complete() (Settings, error) {
	switch {
	case s.Self.ID == "":
		return s, fault.New(fault.InvalidSettings, "the instance has no id")
	case s.Region == "":
		return s, fault.New(fault.InvalidSettings, "the instance has no region")
	case s.Store == nil:
		return s, fault.New(fault.InvalidSettings, "the instance has no store")
	}
	if s.Listen == "" {
		s.Listen = s.Self.PeerAddress
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	if s.DialAddress == nil {
		s.DialAddress = func(address string) string { return address }
	}
	if s.Self.Incarnation == 0 {
		s.Self.Incarnation = fleet.Incarnation(time.Now().UnixMilli())
	}
	s.Self.State = fleet.Live
	return s, nil
}

// withListenAddress fills in a missing peer address with the address that the service listens on.
func (s Settings) withListenAddress(address string) Settings {
	if s.Self.PeerAddress == "" || strings.HasSuffix(s.Self.PeerAddress, ":0") {
		s.Self.PeerAddress = address
	}
	return s
}
