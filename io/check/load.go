package check

import (
	"context"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/load"
)

// LoadSettings returns the settings of a load of the orders workload on all instances and databases.
func (f *Fleet) LoadSettings() load.Settings {
	settings := load.Settings{
		Workload: load.Orders, Customer: f.layout.Contracts[0].Customer, Databases: f.Databases(),
		Rate: 150, Duration: 6 * time.Second, Sessions: 12, Connections: 2, RequestsPerInstance: 1, WriteShare: 0.3,
		RequestTimeout: 10 * time.Second, Seed: 1,
	}
	metrics := load.MetricsCounter{}
	for _, i := range f.Instances {
		settings.Addresses = append(settings.Addresses, i.CallerLink.Address())
		metrics.Addresses = append(metrics.Addresses, i.HTTPAddress)
	}
	settings.ReadCounter = metrics
	return settings
}

// RunLoad runs the load, injects the fault after the delay and returns the measurements.
func (f *Fleet) RunLoad(settings load.Settings, delay time.Duration, fault func()) load.Result {
	f.tb.Helper()
	done := make(chan struct{})
	timer := time.AfterFunc(delay, func() {
		defer close(done)
		fault()
	})
	result, err := load.Run(context.Background(), settings)
	if !timer.Stop() {
		<-done
	}
	require.NoError(f.tb, err)
	f.tb.Logf("seed %d\n%s", settings.Seed, result.Text())
	return result
}

// RequireClean fails the test if the history violates a consistency guarantee or no write was acknowledged.
func (f *Fleet) RequireClean(result load.Result) {
	f.tb.Helper()
	require.Zero(f.tb, result.LostWrites, "lost writes")
	require.Zero(f.tb, result.DoubledWrites, "doubled writes")
	require.Zero(f.tb, result.FalseRefusals, "false refusals")
	require.Zero(f.tb, result.StaleReads, "stale reads")
	require.True(f.tb, result.Linearizable, "a session saw its own rows out of order")
	require.Positive(f.tb, result.AcknowledgedWrites, "acknowledged writes")
}
