package quota_test

import (
	"strconv"
	"testing"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/quota"
	"turmericpulley/core/types"
)

// BenchmarkLend lends to eight owners that each ask for ten of ninety accounts.
func BenchmarkLend(b *testing.B) {
	now := clock.Moment(time.Hour)
	pool := quota.NewPool(clock.Manual(func() clock.Moment { return now }), period)
	d := acct.NewDirectory()
	for i := range 90 {
		d.Add(acct.Account{ID: types.AccountID(strconv.Itoa(i)), Limit: acct.Limit{Rate: 100, Burst: 100}}, nil)
	}
	b.ReportAllocs()
	for i := range b.N {
		owner := i % 8
		batch := quota.Batch{
			Place:    quota.Place{Database: types.DatabaseID(strconv.Itoa(owner)), Instance: types.InstanceID(strconv.Itoa(owner))},
			Standing: sole, Number: uint64(i + 1), Answered: uint64(max(0, i-7)),
		}
		for a := range 10 {
			batch.Asks = append(batch.Asks, quota.Ask{Account: types.AccountID(strconv.Itoa((i + 9*a) % 90)), Tokens: 3})
		}
		pool.Lend(batch, 8, d)
		now = now.Add(12 * time.Millisecond)
	}
}

// BenchmarkTake takes operations out of what was lent.
func BenchmarkTake(b *testing.B) {
	now := clock.Moment(time.Hour)
	l := quota.NewLocalLedger(clock.Manual(func() clock.Moment { return now }))
	a := acct.Account{ID: "a", Limit: acct.Limit{Rate: 1e9, Burst: 1e9}}
	b.ReportAllocs()
	for range b.N {
		l.Take(a)
	}
}

// BenchmarkLendToLargeFleet lends tokens of one account to a thousand owners, which ask every AskInterval.
func BenchmarkLendToLargeFleet(b *testing.B) {
	now := clock.Moment(time.Hour)
	pool := quota.NewPool(clock.Manual(func() clock.Moment { return now }), period)
	d := acct.NewDirectory()
	d.Add(acct.Account{ID: "a", Limit: acct.Limit{Rate: 1e6, Burst: 1e6}}, nil)
	b.ReportAllocs()
	for i := range b.N {
		pool.Lend(largeFleetBatch(i, 1000), 1000, d)
		now = now.Add(quota.AskInterval / 1000)
	}
}
