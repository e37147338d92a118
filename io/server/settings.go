package server

import (
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// Settings configure an instance.
type Settings struct {
	// ID identifies the instance; no other running instance may have the same.
	ID         types.InstanceID
	Region     types.Region
	DataCentre types.DataCentre
	// CallersAddress is the IP address and port for callers.
	CallersAddress string
	// PeersAddress is the IP address and port for other instances.
	PeersAddress string
	// AdvertisedPeersAddress is the address that other instances dial; empty means PeersAddress.
	AdvertisedPeersAddress string
	// HTTPAddress is the IP address and port for operators.
	HTTPAddress string
	// Platform is the base URL of the platform.
	Platform string
	// Seeds are the peer addresses of instances to contact before the membership is known.
	Seeds []string
	// Links maps an address to the address to dial instead. Addresses without an entry are dialled as they are.
	Links map[string]string
	// MaxConnections bounds the number of callers' connections; zero means the default.
	MaxConnections int
	// MemoryMiB is the memory of the machine in MiB; zero means that of the control group or else of the machine.
	MemoryMiB int
	// MaxDescriptors is the number of descriptors that the process may open; zero means the limit of the process.
	MaxDescriptors int
	// StopTimeout bounds the duration of Stop; zero means DefaultStopTimeout.
	StopTimeout time.Duration
	Logger      hclog.Logger
}

// DefaultStopTimeout is the value of Settings.StopTimeout when it is zero.
const DefaultStopTimeout = 15 * time.Second

// Check returns all problems of the settings in one fault of the kind InvalidSettings.
func (s Settings) Check() error {
	var problems []string
	for _, required := range []struct{ name, value string }{
		{"id", string(s.ID)}, {"region", string(s.Region)}, {"data-centre", string(s.DataCentre)},
	} {
		if required.value == "" {
			problems = append(problems, required.name+" is empty; give it a name")
		}
	}
	for _, a := range []struct{ name, value string }{
		{"callers-address", s.CallersAddress},
		{"peers-address", s.PeersAddress},
		{"http-address", s.HTTPAddress},
	} {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			problems = append(problems, a.name+" is "+quoted(a.value)+"; give an IP address and a port such as 127.0.0.1:5432")
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		problems = append(problems, "platform is "+quoted(s.Platform)+"; give a URL such as http://127.0.0.1:8500")
	}
	for _, seed := range s.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			problems = append(problems, "seed "+quoted(seed)+" has no port; give an IP address and a port")
		}
	}
	if s.MaxConnections < 0 {
		problems = append(problems, "max-connections is negative; give zero or more")
	}
	if s.MemoryMiB < 0 {
		problems = append(problems, "memory-mib is negative; give zero or more")
	}
	if s.MaxDescriptors < 0 {
		problems = append(problems, "max-descriptors is negative; give zero or more")
	}
	if len(problems) > 0 {
		return fault.New(fault.InvalidSettings, strings.Join(problems, "; "))
	}
	return nil
}

func quoted(text string) string { return `"` + text + `"` }

func (s Settings) withDefaults() Settings {
	if s.AdvertisedPeersAddress == "" {
		s.AdvertisedPeersAddress = s.PeersAddress
	}
	if s.StopTimeout <= 0 {
		s.StopTimeout = DefaultStopTimeout
	}
	if s.Logger == nil {
		s.Logger = hclog.NewNullLogger()
	}
	return s
}

// dialAddress returns the address to dial for the given one, as Links maps it.
func (s Settings) dialAddress(address string) string {
	if mapped, ok := s.Links[address]; ok {
		return mapped
	}
	return address
}
