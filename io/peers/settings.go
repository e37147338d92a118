package peers

import (
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/fault"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
)

// Settings are what a service is made from.
type Settings struct {
	// Self describes this instance; an incarnation of zero is replaced by one made from the clock, and a peer address
	// that is empty or ends in port zero by the address listened on.
	Self fleet.Instance
	// Region is the region whose membership the instance joins.
	Region types.Region
	// Seeds are peer addresses to ask before the membership is known.
	Seeds []string
	// Store is the platform's key-value service.
	Store Store
	// Listen is the address that the service listens on; empty means the peer address of Self.
	Listen string
	// Logger receives changes of state; nil means none.
	Logger hclog.Logger
	// DialAddress maps a peer address to the address to dial; nil means the same.
	DialAddress func(address string) string
}

// complete checks the settings and fills in what was left out.
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

// withListenAddress fills in the peer address once it is known.
func (s Settings) withListenAddress(address string) Settings {
	if s.Self.PeerAddress == "" || strings.HasSuffix(s.Self.PeerAddress, ":0") {
		s.Self.PeerAddress = address
	}
	return s
}
