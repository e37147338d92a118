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

// registerOnce registers this package's toxics with the toxiproxy library.
var registerOnce = sync.OnceFunc(func() {
	toxics.Register(delayToxicName, new(delayToxic))
	toxics.Register(blackholeToxicName, new(blackholeToxic))
})

// Link is a TCP proxy in front of one listener. Tests inject network faults into it.
type Link struct {
	tb    testing.TB
	proxy *toxiproxy.Proxy
	delay time.Duration
}

// NewLink starts a link to the upstream address and closes it at the end of the test.
func NewLink(tb testing.TB, name, upstream string) *Link {
	tb.Helper()
	registerOnce()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, name, net.JoinHostPort(loopback, "0"), upstream)
	require.NoError(tb, proxy.Start())
	tb.Cleanup(proxy.Stop)
	return &Link{tb: tb, proxy: proxy}
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.proxy.Listen }

// Delay delays the data of each direction by the given time. The delay stays in place after Heal. On a link that has a delay
// already, the new one takes effect with the next Heal.
func (l *Link) Delay(delay time.Duration) {
	l.delay = delay
	if delay <= 0 {
		return
	}
	for _, direction := range bothDirections() {
		l.add(delayToxicName, direction, &delayToxic{Delay: delay})
	}
}

// Cut drops all data in one direction, on open connections and on those opened before Heal.
func (l *Link) Cut(direction Direction) { l.add(cutToxicName, direction, &toxics.TimeoutToxic{}) }

// CutBoth drops all data in both directions, on open connections and on those opened before Heal.
func (l *Link) CutBoth() {
	for _, direction := range bothDirections() {
		l.Cut(direction)
	}
}

// BlackholeOpenConns drops all data on the connections that are open now, without closing them. New connections work.
func (l *Link) BlackholeOpenConns() {
	for _, direction := range bothDirections() {
		wrapper := l.add(blackholeToxicName, direction, struct{}{})
		wrapper.Toxic.(*blackholeToxic).installed.Store(true)
	}
}

// Reset closes each connection when its next data from the listening side arrives: those that are open now with a FIN, and those
// opened before Heal with a RST.
func (l *Link) Reset() { l.add(resetToxicName, Downstream, &toxics.ResetToxic{}) }

// Heal removes the faults. It closes the connections that Cut affected. Those that BlackholeOpenConns affected stay open and
// forward new data.
func (l *Link) Heal() {
	l.proxy.Toxics.ResetToxics(context.Background())
	l.Delay(l.delay)
}

// toxicDocument is the JSON document from which the toxiproxy library creates a toxic.
type toxicDocument struct {
	Name       string    `json:"name"`
	Type       string    `json:"type"`
	Stream     Direction `json:"stream"`
	Attributes any       `json:"attributes"`
}

// add adds a toxic of the kind to one direction. If there is one already, add returns it unchanged.
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
