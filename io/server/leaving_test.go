package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakekv"
	"turmericpulley/io/load"
	"turmericpulley/io/owner"
)

// leavingLimit is the time after which a leaving target must run no transactions.
const leavingLimit = 3 * time.Second

// TestMemberListedAsLeavingRunsNoTransactions lists a member as leaving on the platform while the member itself does not
// report it. Within three seconds no transaction uses the member, and if it is the primary it is replaced.
func TestMemberListedAsLeavingRunsNoTransactions(t *testing.T) {
	for name, index := range map[string]int{"primary": 0, "replica": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 2, nil)
			f.connect(t, 0, "probe")
			f.waitForOwner(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			finished := make(chan load.Result, 1)
			go func() {
				result, _ := load.Run(ctx, f.loadSettings())
				finished <- result
			}()
			time.Sleep(faultDelay)
			target := f.members[index].Status().Target
			f.platform.SetTargets([]fakekv.Target{{
				ID: string(target), Address: f.members[index].Address(), Kind: fakekv.KindTarget, State: fakekv.StateLeaving,
			}})
			time.Sleep(leavingLimit)
			for range 50 {
				for _, m := range f.report(t).Members {
					if m.Target == target {
						require.Zero(t, m.InUse, "a leaving member has work")
					}
				}
				require.NotEqual(t, target, f.report(t).Primary)
				time.Sleep(10 * time.Millisecond)
			}
			result := <-finished
			require.Empty(t, result.Findings)
			require.Greater(t, result.AcknowledgedWrites, 100)
		})
	}
}

// report returns the owner's report of the database.
func (f *fleet) report(t *testing.T) owner.Report {
	t.Helper()
	return f.owner(t).Report().Databases[0]
}
