package check_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

// faultDelay is when a fault strikes a running load.
const faultDelay = 2 * time.Second

func TestWholePath(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	settings := f.Load()
	settings.Duration = 3 * time.Second
	settings.Prepared = true
	result := f.Run(settings, faultDelay, func() {})
	f.RequireClean(result)
}

func TestPrimaryKilled(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	result := f.Run(f.Load(), faultDelay, func() { f.Members[0][0].Kill() })
	f.RequireClean(result)
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
	t.Logf("failover gap %.0f ms", float64(result.FailoverGap))
}
