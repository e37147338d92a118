package owner_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/class"
	"turmericpulley/core/policy"
	"turmericpulley/core/trace"
	"turmericpulley/io/check"
	"turmericpulley/io/owner"
)

// BenchmarkMonitorBytes reports the bytes, in both directions, that the monitor calls for one owned database send while no
// transactions run.
func BenchmarkMonitorBytes(b *testing.B) {
	layout := check.DefaultLayout()
	layout.Instances = 0
	f := check.NewFleet(b, layout)
	transferred := atomic.Int64{}
	database := policy.Database{Database: "database"}
	for _, m := range f.Members[0] {
		database.Members = append(database.Members, policy.Member{
			Target: m.Target, Address: countingRelay(b, m.DirectAddress, &transferred), DataCentre: m.DataCentre,
		})
	}
	counters := &owner.Counters{}
	o := owner.New(owner.Settings{
		Group: policy.Group{Group: "orders-db", Slots: 2, Connections: 15}, Database: database, Epoch: benchEpoch,
		Writes: class.NewWriteSet(), Counters: counters, Recorder: trace.New("instance", 100), Logger: hclog.NewNullLogger(),
	})
	b.Cleanup(o.Close)
	measureIdle(b, counters)
	for b.Loop() {
		before := transferred.Load()
		after := measureIdle(b, counters)
		b.ReportMetric(float64(transferred.Load()-before)/benchDuration.Seconds(), "B/s/database")
		b.ReportMetric(float64(transferred.Load()-before)/float64(after.calls), "B/call")
	}
}

// countingRelay returns the address of a relay to the given address that counts the bytes of its connections.
func countingRelay(b *testing.B, address string, transferred *atomic.Int64) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", address)
			if err != nil {
				_ = client.Close()
				continue
			}
			go copyCounting(client, upstream, transferred)
			go copyCounting(upstream, client, transferred)
		}
	}()
	return listener.Addr().String()
}

// copyCounting copies from one connection to another and counts the bytes.
func copyCounting(to, from net.Conn, transferred *atomic.Int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		transferred.Add(int64(n))
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
