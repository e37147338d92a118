package node_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakepl"
)

// TestTransactionAtAnUnlistedPrimaryIsNotCommittedAfterItsReplacement guards against commits that are acknowledged and rolled back: the
// primary's entry is removed while the primary runs on with a caller's open transaction. Once another member has been promoted, that
// transaction must not commit, and the former primary must have been told to step down.
func TestTransactionAtAnUnlistedPrimaryIsNotCommittedAfterItsReplacement(t *testing.T) {
	site, err := fakepl.NewPlatform(0)
	require.NoError(t, err)
	defer site.Close()
	site.Group.DemoteDelay = 10 * time.Second
	site.Configure(1, 1000)
	instance := startInstance(t, site, "n1")
	awaitWrite(t, instance.callers)
	entry := struct{ Address string }{}
	require.NoError(t, json.Unmarshal(site.Store.Value("servers/i-1"), &entry))
	member, err := fakepl.Dial(entry.Address, "db1")
	require.NoError(t, err)
	defer member.Close()
	caller, err := fakepl.Dial(instance.callers, "primary")
	require.NoError(t, err)
	defer caller.Close()
	mustSucceed(t, caller, "BEGIN")
	mustSucceed(t, caller, "WRITE a 1")
	site.Store.Delete("servers/i-1")
	for site.Group.Primary() == "i-1" {
		time.Sleep(250 * time.Millisecond)
		// The transaction must not end for having been idle.
		_, _ = caller.Query("READ a")
	}
	r, err := caller.Query("COMMIT")
	require.NoError(t, err)
	require.NotEmpty(t, r.Code, "acknowledged at the former primary")
	require.Eventually(t, func() bool {
		status, err := member.Query("STATUS")
		return err == nil && strings.HasPrefix(status.Rows[0], "replica")
	}, 2*time.Second, 20*time.Millisecond)
}
