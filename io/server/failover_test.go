package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/fakekv"
	"turmericpulley/io/load"
	"turmericpulley/io/server"
)

const (
	faultDelay   = 1500 * time.Millisecond
	loadDuration = 5 * time.Second
	// maxFailoverGap is the longest failover gap that the users allow.
	maxFailoverGap = 3 * time.Second
)

// TestHistoryStaysConsistentThroughFaults causes one fault per case while sessions write and read at all instances. The
// recorded history must have no lost, doubled or stale operation and no false refusal.
func TestHistoryStaysConsistentThroughFaults(t *testing.T) {
	for name, inject := range map[string]func(f *fleet, owner *server.Server) error{
		"primary killed": func(f *fleet, _ *server.Server) error { return f.members[0].Close() },
		"replica killed": func(f *fleet, _ *server.Server) error { return f.members[2].Close() },
		"primary killed with the store down": func(f *fleet, _ *server.Server) error {
			f.platform.SetFaults(fakekv.Faults{Down: true})
			return f.members[0].Close()
		},
		"primary leaves": func(f *fleet, _ *server.Server) error { return f.members[0].Leave(2 * time.Second) },
		"owner killed": func(_ *fleet, owner *server.Server) error {
			owner.Close()
			return nil
		},
		"owner killed with the store down": func(f *fleet, owner *server.Server) error {
			f.platform.SetFaults(fakekv.Faults{Down: true})
			owner.Close()
			return nil
		},
		"owner stopped": func(_ *fleet, owner *server.Server) error {
			owner.Stop(context.Background())
			return nil
		},
		"owner and primary killed": func(f *fleet, owner *server.Server) error {
			owner.Close()
			return f.members[0].Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 4, withLag)
			f.connect(t, 0, "probe")
			f.waitForOwner(t)
			owner := f.owner(t)
			timer := time.AfterFunc(faultDelay, func() { assert.NoError(t, inject(f, owner)) })
			defer timer.Stop()
			result, err := load.Run(t.Context(), f.loadSettings())
			require.NoError(t, err)
			t.Logf("requests %d, acknowledged writes %d, gap %v, classes %+v", result.Requests, result.AcknowledgedWrites,
				result.FailoverGap, outcomesByClass(result))
			require.Empty(t, result.Findings)
			require.True(t, result.Linearizable)
			require.Less(t, time.Duration(float64(result.FailoverGap)*float64(time.Millisecond)), maxFailoverGap)
			require.Greater(t, result.AcknowledgedWrites, 100)
		})
	}
}

func (f *fleet) loadSettings() load.Settings {
	addresses := make([]string, 0, len(f.servers))
	for _, s := range f.servers {
		addresses = append(addresses, s.CallersAddress())
	}
	return load.Settings{
		Addresses: addresses, Workload: load.Orders, Customer: testCustomer, Databases: []types.DatabaseID{testDatabase},
		Rate: 200, Duration: loadDuration, Sessions: 10, Connections: 2, RequestsPerInstance: 5, WriteShare: 0.5,
		RequestTimeout: 8 * time.Second, Seed: 7,
	}
}

func outcomesByClass(r load.Result) map[load.Class][4]int {
	all := map[load.Class][4]int{}
	for _, c := range r.Classes {
		all[c.Class] = [4]int{c.Acknowledged, c.NotRun, c.Unknown, c.Failed}
	}
	return all
}

// withLag makes replicas lag, so that writes that are acknowledged too early get lost and reads can be stale.
func withLag(s *fakedb.Settings) {
	s.ReceiveLag = 40 * time.Millisecond
	s.ApplyLag = 50 * time.Millisecond
}
