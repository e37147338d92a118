package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/fakekv"
	"turmericpulley/io/load"
)

const (
	faultDelay   = 1500 * time.Millisecond
	loadDuration = 5 * time.Second
	// gapLimit is the worst failover gap that the users allow.
	gapLimit = 3 * time.Second
)

// TestFaultsUnderLoad provokes one fault after another way of failing while sessions write and read at all instances;
// the recorded history shows no lost, doubled or stale operation and no false refusal.
func TestFaultsUnderLoad(t *testing.T) {
	for name, provoke := range map[string]func(t *testing.T, f *fleet){
		"primary killed": func(t *testing.T, f *fleet) { require.NoError(t, f.members[0].Close()) },
		"replica killed": func(t *testing.T, f *fleet) { require.NoError(t, f.members[2].Close()) },
		"primary killed with the store down": func(t *testing.T, f *fleet) {
			f.platform.SetFaults(fakekv.Faults{Down: true})
			require.NoError(t, f.members[0].Close())
		},
		"primary leaves": func(t *testing.T, f *fleet) { require.NoError(t, f.members[0].Leave(2*time.Second)) },
		"owner killed":   func(t *testing.T, f *fleet) { f.owner(t).Close() },
		"owner killed with the store down": func(t *testing.T, f *fleet) {
			f.platform.SetFaults(fakekv.Faults{Down: true})
			f.owner(t).Close()
		},
		"owner stopped": func(_ *testing.T, f *fleet) { f.owner(t).Stop(context.Background()) },
		"owner and primary killed": func(t *testing.T, f *fleet) {
			f.owner(t).Close()
			require.NoError(t, f.members[0].Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 4, withLag)
			f.connect(t, 0, "probe")
			f.waitForOwner(t)
			timer := time.AfterFunc(faultDelay, func() { provoke(t, f) })
			defer timer.Stop()
			result, err := load.Run(t.Context(), f.loadSettings())
			require.NoError(t, err)
			t.Logf("requests %d, acknowledged writes %d, gap %v, classes %+v", result.Requests, result.AcknowledgedWrites,
				result.FailoverGap, outcomes(result))
			require.Empty(t, result.Findings)
			require.True(t, result.Linearizable)
			require.Less(t, time.Duration(float64(result.FailoverGap)*float64(time.Millisecond)), gapLimit)
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
		Rate: 200, Duration: loadDuration, Sessions: 10, Connections: 2, Roam: 5, WriteShare: 0.5,
		RequestTimeout: 8 * time.Second, Seed: 7,
	}
}

func outcomes(r load.Result) map[load.Class][4]int {
	all := map[load.Class][4]int{}
	for _, c := range r.Classes {
		all[c.Class] = [4]int{c.Acknowledged, c.NotRun, c.Unknown, c.Failed}
	}
	return all
}

// withLag keeps replicas behind, so that a write that is acknowledged too early can be lost and a read be stale.
func withLag(s *fakedb.Settings) {
	s.ReceiveLag = 40 * time.Millisecond
	s.ApplyLag = 50 * time.Millisecond
}
