package check

import (
	"net/http"
	"testing"
	"time"

	"turmericpulley/core/types"
)

// Instance is an instance of the proxy in a process of its own.
type Instance struct {
	*Process
	ID         types.InstanceID
	DataCentre types.DataCentre
	// HTTP is the address of metrics, readiness and state.
	HTTP string
	// Callers is the path of the callers to this instance.
	Callers *Link
	// Platform is the path of this instance to the platform.
	Platform *Link
	// Peers holds the path of this instance to each other one.
	Peers map[types.InstanceID]*Link
	// Members holds the path of this instance to each member.
	Members map[types.TargetID]*Link

	callersAddress string
	peersAddress   string
}

// newInstance reserves the addresses of an instance; start runs it.
func newInstance(tb testing.TB, layout Layout, id types.InstanceID, platform *Platform) *Instance {
	tb.Helper()
	addresses := NewAddresses(tb, 3)
	i := &Instance{
		ID: id, callersAddress: addresses[0], peersAddress: addresses[1], HTTP: addresses[2],
		Peers: map[types.InstanceID]*Link{}, Members: map[types.TargetID]*Link{},
	}
	i.Callers = NewLink(tb, string(id)+"-callers", i.callersAddress)
	i.Callers.Delay(layout.CallerDelay)
	i.Platform = NewLink(tb, string(id)+"-platform", platform.Direct)
	i.Platform.Delay(layout.PlatformDelay)
	return i
}

// start runs the instance with its paths to the others and to the members.
func (i *Instance) start(tb testing.TB, layout Layout, others []*Instance, members []*Member) {
	tb.Helper()
	arguments := []string{
		"serve", "--id", string(i.ID), "--region", region, "--data-centre", string(i.DataCentre),
		"--callers-address", i.callersAddress, "--peers-address", i.peersAddress, "--http-address", i.HTTP,
		"--platform", "http://" + i.Platform.Address(),
	}
	for _, other := range others {
		if other == i {
			continue
		}
		link := NewLink(tb, string(i.ID)+"-"+string(other.ID), other.peersAddress)
		link.Delay(layout.PeerDelay)
		i.Peers[other.ID] = link
		arguments = append(arguments, "--link", other.peersAddress+"="+link.Address())
	}
	for _, m := range members {
		link := NewLink(tb, string(i.ID)+"-"+string(m.Target), m.Direct)
		link.Delay(layout.MemberDelay)
		i.Members[m.Target] = link
		arguments = append(arguments, "--link", m.Replication.Address()+"="+link.Address())
	}
	if seeds := seedsOf(i, others); seeds != "" {
		arguments = append(arguments, "--seeds", seeds)
	}
	i.Process = NewProcess(tb, string(i.ID), arguments...)
}

func seedsOf(i *Instance, others []*Instance) string {
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

// CallersDirect returns where the instance itself listens for callers, past the link.
func (i *Instance) CallersDirect() string { return i.callersAddress }

// Ready reports whether the instance takes requests.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.HTTP + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// CutPeers drops all data between the instance and every other one.
func (i *Instance) CutPeers(others []*Instance) {
	for _, link := range i.Peers {
		link.CutBoth()
	}
	for _, other := range others {
		if link := other.Peers[i.ID]; link != nil {
			link.CutBoth()
		}
	}
}
