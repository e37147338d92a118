package check

import (
	"net/http"
	"testing"
	"time"

	"turmericpulley/core/types"
)

// Instance is an instance of the proxy in its own process.
type Instance struct {
	*Process
	ID         types.InstanceID
	DataCentre types.DataCentre
	// HTTPAddress serves the metrics, the readiness check and the state report.
	HTTPAddress string
	// CallerLink is the link from the callers to this instance.
	CallerLink *Link
	// PlatformLink is the link from this instance to the platform.
	PlatformLink *Link
	// PeerLinks holds the link from this instance to each other instance.
	PeerLinks map[types.InstanceID]*Link
	// MemberLinks holds the link from this instance to each member.
	MemberLinks map[types.TargetID]*Link

	callersAddress string
	peersAddress   string
}

// newInstance reserves the addresses of an instance and opens its links from the callers and to the platform. start runs its
// process.
func newInstance(tb testing.TB, layout Layout, id types.InstanceID, platform *Platform) *Instance {
	tb.Helper()
	addresses := NewAddresses(tb, 3)
	i := &Instance{
		ID: id, callersAddress: addresses[0], peersAddress: addresses[1], HTTPAddress: addresses[2],
		PeerLinks: map[types.InstanceID]*Link{}, MemberLinks: map[types.TargetID]*Link{},
	}
	i.CallerLink = NewLink(tb, string(id)+"-callers", i.callersAddress)
	i.CallerLink.Delay(layout.CallerDelay)
	i.PlatformLink = NewLink(tb, string(id)+"-platform", platform.DirectAddress)
	i.PlatformLink.Delay(layout.PlatformDelay)
	return i
}

// start opens the links to the other instances and to the members, and starts the process.
func (i *Instance) start(tb testing.TB, layout Layout, others []*Instance, members []*Member) {
	tb.Helper()
	arguments := []string{
		"serve", "--id", string(i.ID), "--region", region, "--data-centre", string(i.DataCentre),
		"--callers-address", i.callersAddress, "--peers-address", i.peersAddress, "--http-address", i.HTTPAddress,
		"--platform", "http://" + i.PlatformLink.Address(),
	}
	for _, other := range others {
		if other == i {
			continue
		}
		link := NewLink(tb, string(i.ID)+"-"+string(other.ID), other.peersAddress)
		link.Delay(layout.PeerDelay)
		i.PeerLinks[other.ID] = link
		arguments = append(arguments, "--link", other.peersAddress+"="+link.Address())
	}
	for _, m := range members {
		link := NewLink(tb, string(i.ID)+"-"+string(m.Target), m.DirectAddress)
		link.Delay(layout.MemberDelay)
		i.MemberLinks[m.Target] = link
		arguments = append(arguments, "--link", m.ReplicationLink.Address()+"="+link.Address())
	}
	if seeds := seedAddresses(i, others); seeds != "" {
		arguments = append(arguments, "--seeds", seeds)
	}
	i.Process = NewProcess(tb, string(i.ID), arguments...)
}

func seedAddresses(i *Instance, others []*Instance) string {
	seeds := ""
	for _, other := range others {
		if other == i {
			continue
		}
		if seeds != "" {
			seeds += ","
		}
		seeds += other.peersAddress
	}
	return seeds
}

// DirectCallersAddress returns the address on which the instance listens for callers, without the link.
func (i *Instance) DirectCallersAddress() string { return i.callersAddress }

// Ready reports whether the instance accepts requests.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.HTTPAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// CutPeers drops all data between this instance and the others, in both directions.
func (i *Instance) CutPeers(others []*Instance) {
	for _, link := range i.PeerLinks {
		link.CutBoth()
	}
	for _, other := range others {
		if link := other.PeerLinks[i.ID]; link != nil {
			link.CutBoth()
		}
	}
}
