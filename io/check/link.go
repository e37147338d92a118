package check

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// registerOnce makes the toxics of this package known to the library.
var registerOnce = sync.OnceFunc(func() {
	toxics.Register(delayToxicName, new(delayToxic))
	toxics.Register(blackholeToxicName, new(blackholeToxic))
})

// Link is a TCP path to one listener on which a test injects faults.
type Link struct {
	tb    testing.TB
	proxy *toxiproxy.Proxy
	delay time.Duration
}

// NewLink opens a path to the upstream address and closes it with the test.
func NewLink(tb testing.TB, name, upstream string) *Link {
	tb.Helper()
	registerOnce()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, net.JoinHostPort(loopback, "0"), upstream)
	require.NoError(tb, proxy.Start())
	tb.Cleanup(proxy.Stop)
	return &Link{tb: tb, proxy: proxy}
}

// Address returns where the link listens.
func (l *Link) Address() string { return l.proxy.Listen }

// Delay makes data take the time in each direction, now and after Heal.
func (l *Link) Delay(delay time.Duration) {
	l.delay = delay
	if delay <= 0 {
		return
	}
	for _, direction := range bothDirections() {
		l.add(delayToxicName, direction, &delayToxic{Delay: delay})
	}
}

// Cut drops all data in one direction, also on connections opened later.
func (l *Link) Cut(direction Direction) { l.add(cutToxicName, direction, &toxics.TimeoutToxic{}) }

// CutBoth drops all data in both directions, also on connections opened later.
func (l *Link) CutBoth() {
	for _, direction := range bothDirections() {
		l.Cut(direction)
	}
}

// BlackholeOpenConns drops all data of the connections that are open now; new connections work.
func (l *Link) BlackholeOpenConns() {
	for _, direction := range bothDirections() {
		wrapper := l.add(blackholeToxicName, direction, struct{}{})
		wrapper.Toxic.(*blackholeToxic).installed.Store(true)
	}
}

// Reset breaks every open connection at its next data and those opened until Heal likewise.
func (l *Link) Reset() { l.add(resetToxicName, Downstream, &toxics.ResetToxic{}) }

// Heal removes the faults; connections whose data was dropped are closed.
func (l *Link) Heal() {
	l.proxy.Toxics.ResetToxics(context.Background())
	l.Delay(l.delay)
}

// toxicDocument is the library's form of a toxic.
type toxicDocument struct {
	Name       string    `json:"name"`
	Type       string    `json:"type"`
	Stream     Direction `json:"stream"`
	Attributes any       `json:"attributes"`
}

// add puts a toxic on one direction; one that is there already is left as it is.
func (l *Link) add(kind string, direction Direction, attributes any) *toxics.ToxicWrapper {
	l.tb.Helper()
	name := kind + "-" + string(direction)
	if present := l.proxy.Toxics.GetToxic(name); present != nil {
		return present
	}
	document, err := json.Marshal(toxicDocument{Name: name, Type: kind, Stream: direction, Attributes: attributes})
	require.NoError(l.tb, err)
	wrapper, err := l.proxy.Toxics.AddToxicJson(bytes.NewReader(document))
	require.NoError(l.tb, err)
	return wrapper
}
