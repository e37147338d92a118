package check_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

// TestRollingRestartFailsNoRequest restarts every instance in turn under load, as an upgrade or its rollback does.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	result := underLoad(t, f, maxKillGap, func() {
		for _, i := range f.Instances {
			i.Terminate()
			require.Equal(t, 0, i.WaitExit())
			i.Start()
			f.WaitReady(i)
		}
	})
	requireNoFailedRequests(t, result)
}
