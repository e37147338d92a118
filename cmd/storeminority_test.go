package cmd_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/check"
)

// Three of five instances are cut off from the store and from the other two. They are still a majority of the membership that
// they know, so they confirm each other's contracts and keep using them, even after the other two have removed them from the
// membership. A change that is stored meanwhile must not be reported as accepted.
func TestChangeIsPendingWhenOnlyMinorityReachesStore(t *testing.T) {
	t.Parallel()
	layout := check.DefaultLayout()
	layout.Instances = 5
	f := check.NewFleet(t, layout)
	contract := check.NewContract(check.Customer, "orders-db")
	applyContract(t, f, contract)
	isolated, connected := f.Instances[:3], f.Instances[3:]
	for _, cut := range isolated {
		cut.PlatformLink.CutBoth()
		for _, other := range connected {
			cut.PeerLinks[other.ID].CutBoth()
			other.PeerLinks[cut.ID].CutBoth()
		}
	}
	contract.Groups = []types.GroupID{"no-such-group"}
	document, err := json.Marshal(contract)
	require.NoError(t, err)
	path := writeFile(t, string(document))
	for range 2 { // The first change may start before the removal; the second starts after it.
		result := execute("contract", "apply", path, "--timeout=8s", "--platform=http://"+f.Platform.DirectAddress)
		require.Equal(t, 4, result.code, result.out+result.errOut)
		require.Contains(t, result.out, "outside the membership: instance-1, instance-2, instance-3")
	}
	f.HealPeers()
	f.HealPlatform()
	require.Eventually(t, func() bool {
		return execute("contract", "apply", path, "--timeout=8s", "--platform=http://"+f.Platform.DirectAddress).code == 0
	}, recoveryTimeout, pollInterval)
}
