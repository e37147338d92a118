package check_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

// requireNoFailedRequests fails the test if a request failed or has an unknown outcome.
func requireNoFailedRequests(t *testing.T, result load.Result) {
	t.Helper()
	for _, class := range result.Classes {
		require.Zero(t, class.Unknown, "%s with an unknown outcome", class.Class)
		require.Zero(t, class.Failed, "%s failed", class.Class)
	}
}

func TestPrimaryShutdownFailsNoRequest(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	result := underLoad(t, f, maxKillGap, f.Members[0][0].Terminate)
	requireNoFailedRequests(t, result)
	require.Equal(t, 0, f.Members[0][0].WaitExit())
	require.NotEqual(t, f.Members[0][0], f.Primary(0))
}

func TestOwnerShutdownFailsNoRequest(t *testing.T) {
	t.Parallel()
	f := check.NewFleet(t, check.DefaultLayout())
	owner := f.Owner(0)
	result := underLoad(t, f, maxKillGap, owner.Terminate)
	requireNoFailedRequests(t, result)
	require.Equal(t, 0, owner.WaitExit())
}
