package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

// faultDelay is the time from the start of a load to the injection of a fault.
const faultDelay = 1500 * time.Millisecond

func TestLoadWithoutFaultsIsConsistent(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	settings := f.LoadSettings()
	settings.Duration = 3 * time.Second
	settings.Prepared = true
	result := f.RunLoad(settings, faultDelay, func() {})
	f.RequireClean(result)
}

// Requests with an unknown outcome are repeated with the same request key while the owner and the primary are killed.
func TestRequestKeysResolveUnknownOutcomes(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	settings := f.LoadSettings()
	settings.Workload = load.Kiosk
	settings.WriteShare = 0.6
	settings.RequestKeys = true
	result := f.RunLoad(settings, faultDelay, func() {
		f.Owner(0).Kill()
		time.Sleep(1500 * time.Millisecond)
		f.Primary(0).Kill()
	})
	f.RequireClean(result)
	for _, class := range result.Classes {
		require.Zero(t, class.Unknown, "%s with an outcome that the request key did not resolve", class.Class)
	}
}
