package fakepl

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// Boot is the settings file of one instance, as the platform writes it.
type Boot struct {
	Path    string
	Callers string
	Ready   string
	Metrics string
}

// BootAddresses is the number of addresses that an instance listens on.
const BootAddresses = 4

// WriteBoot writes the settings of an instance that listens on the addresses: for callers, for the readiness probe, for
// other instances and for metrics.
func (s *Site) WriteBoot(directory, name string, graceS float64, addresses []string) (Boot, error) {
	if len(addresses) != BootAddresses {
		return Boot{}, fmt.Errorf("%d addresses given for an instance, not %d", len(addresses), BootAddresses)
	}
	ports := []int{}
	for _, address := range addresses[2:] {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return Boot{}, fmt.Errorf("reading an instance's address: %w", err)
		}
		ports = append(ports, int(parsed.Port()))
	}
	value, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "instance", "ip": "127.0.0.1", "zone": "z1", "region": "r1",
		"listenAddrs":   map[string]string{"frontend": addresses[0], "ready": addresses[1], "control": addresses[2]},
		"internalPorts": ports, "seeds": []string{}, "bootstrap": true, "heartbeatMs": 1200, "limits": map[string]any{"memoryMb": 284},
		"bounds":   map[string]any{"graceS": graceS, "drainMs": 7000, "somethingNew": true},
		"platform": map[string]any{"address": s.addr}, "cloud": map[string]any{"address": s.addr},
	})
	if err != nil {
		return Boot{}, fmt.Errorf("encoding settings: %w", err)
	}
	path := filepath.Join(directory, name+".json")
	return Boot{Path: path, Callers: addresses[0], Ready: addresses[1], Metrics: addresses[3]}, os.WriteFile(path, value, 0o600)
}
