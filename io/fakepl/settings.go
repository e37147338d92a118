package fakepl

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// InstanceSettings is the settings file of one instance, with the addresses that it names.
type InstanceSettings struct {
	Path           string
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
}

// AddressesPerInstance is the number of addresses that an instance listens on.
const AddressesPerInstance = 4

// WriteSettings writes the settings file of an instance, as the platform writes it, into the directory. The instance
// listens on the addresses in this order: for callers, for the readiness probe, for other instances and for metrics.
func (p *Platform) WriteSettings(directory, name string, graceS float64, addresses []string) (InstanceSettings, error) {
	if len(addresses) != AddressesPerInstance {
		return InstanceSettings{}, fmt.Errorf("got %d addresses for an instance, want %d", len(addresses), AddressesPerInstance)
	}
	ports := []int{}
	for _, address := range addresses[2:] {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return InstanceSettings{}, fmt.Errorf("parsing the address of an instance: %w", err)
		}
		ports = append(ports, int(parsed.Port()))
	}
	value, err := json.Marshal(map[string]any{
		"nodeName": name, "role": "instance", "ip": "127.0.0.1", "zone": "z1", "region": "r1",
		"listenAddrs":   map[string]string{"frontend": addresses[0], "ready": addresses[1], "control": addresses[2]},
		"internalPorts": ports, "seeds": []string{}, "bootstrap": true, "heartbeatMs": 1200, "limits": map[string]any{"memoryMb": p.MemoryMB, "maxFds": p.MaxDescriptors},
		"bounds": map[string]any{
			"graceS": graceS, "drainMs": 7000, "somethingNew": true, "strictRevoke": p.StrictRevoke, "revokeMs": RevokeLimit.Milliseconds(),
			"quotaWindowS": QuotaWindow.Seconds(),
		},
		"platform": map[string]any{"address": p.addr}, "cloud": map[string]any{"address": p.addr},
	})
	if err != nil {
		return InstanceSettings{}, fmt.Errorf("encoding the settings of an instance: %w", err)
	}
	path := filepath.Join(directory, name+".json")
	return InstanceSettings{Path: path, CallerAddress: addresses[0], ReadyAddress: addresses[1], MetricsAddress: addresses[3]}, os.WriteFile(path, value, 0o600)
}
