package quota_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/quota"
	"turmericpulley/core/types"
)

// TestLendersAnswerTakesNoMoreWorkInALargeFleet guards against lenders that count all owners for each ask of one. Memory stands for the work.
func TestLendersAnswerTakesNoMoreWorkInALargeFleet(t *testing.T) {
	small, large := bytesPerBatch(10), bytesPerBatch(1000)
	t.Logf("%d and %d bytes a batch", small, large)
	require.Less(t, large, 2*small)
}

// bytesPerBatch returns how much memory a lender allocates for each batch of as many owners, which ask every AskInterval.
func bytesPerBatch(owners int) uint64 {
	const rounds = 20
	now := clock.Moment(time.Hour)
	pool := quota.NewPool(clock.Manual(func() clock.Moment { return now }), period)
	d := acct.NewDirectory()
	d.Add(acct.Account{ID: "a", Limit: acct.Limit{Rate: 1e6, Burst: 1e6}}, nil)
	lend := func(from, to int) {
		for i := from; i < to; i++ {
			pool.Lend(largeFleetBatch(i, owners), owners, d)
			now = now.Add(quota.AskInterval / time.Duration(owners))
		}
	}
	lend(0, 2*owners)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	lend(2*owners, (2+rounds)*owners)
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / uint64(rounds*owners)
}

// largeFleetBatch returns the batch with the index of as many owners that ask in turn for tokens of one account.
func largeFleetBatch(index, owners int) quota.Batch {
	number, owner := uint64(index/owners+1), strconv.Itoa(index%owners)
	return quota.Batch{
		Place:    quota.Place{Database: types.DatabaseID(owner), Instance: types.InstanceID(owner)},
		Standing: sole, Number: number, Answered: number - 1, Asks: []quota.Ask{{Account: "a", Tokens: 3}},
	}
}
