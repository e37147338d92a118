package cmd_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/types"
	"turmericpulley/io/check"
)

// A majority of the instances that lost the store goes on by the contracts that it holds, even when the others have
// removed it from the membership; a change must not be called accepted then.
func TestChangesAreNotAcceptedByASmallPartWithTheStore(t *testing.T) {
	t.Parallel()
	layout := check.DefaultLayout()
	layout.Instances = 5
	f := check.NewFleet(t, layout)
	contract := check.NewContract(check.Customer, "orders-db")
	applyContract(t, f, contract)
	far, near := f.Instances[:3], f.Instances[3:]
	for _, cut := range far {
		cut.Platform.CutBoth()
		for _, other := range near {
			cut.Peers[other.ID].CutBoth()
			other.Peers[cut.ID].CutBoth()
		}
	}
	contract.Groups = []types.GroupID{"no-such-group"}
	document, err := json.Marshal(contract)
	require.NoError(t, err)
	path := writeFile(t, string(document))
	for range 2 { // The first may begin before the removal, the second begins after it.
		result := execute("contract", "apply", path, "--timeout=8s", "--platform=http://"+f.Platform.Direct)
		require.Equal(t, 4, result.code, result.out+result.problems)
		require.Contains(t, result.out, "outside the membership: instance-1, instance-2, instance-3")
	}
	f.HealPeers()
	f.HealPlatform()
	require.Eventually(t, func() bool {
		return execute("contract", "apply", path, "--timeout=8s", "--platform=http://"+f.Platform.Direct).code == 0
	}, recoveryTimeout, pollInterval)
}
