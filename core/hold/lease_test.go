package hold_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/types"
)

// TestLeaseExpiresWhileMachineIsSuspended advances the clock without any activity of the process, as a suspension does.
func TestLeaseExpiresWhileMachineIsSuspended(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	lease := hold.NewLease(c, 7, now)
	require.True(t, lease.Valid())
	now = now.Add(hold.LeaseDuration)
	require.False(t, lease.Valid())
	require.Zero(t, lease.Remaining())
}

func TestLeaseCountsFromSendingOfRenewal(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	lease := hold.NewLease(c, 7, now)
	sent := now.Add(4 * time.Second)
	now = now.Add(6 * time.Second)
	lease.Renew(7, sent)
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(lease.Remaining()), float64(time.Second/2))
	lease.Renew(6, now)
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(lease.Remaining()), float64(time.Second/2), "an older epoch does not renew the lease")
	lease.Renew(7, sent.Add(-time.Second))
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(lease.Remaining()), float64(time.Second/2), "an earlier read does not shorten the lease")
	lease.Revoke()
	lease.Renew(9, now)
	require.False(t, lease.Valid())
}

func TestRecordListsAllFormerOwnersThatMightStillWork(t *testing.T) {
	a, b := fleet.Instance{ID: "a", Incarnation: 1}, fleet.Instance{ID: "b", Incarnation: 2}
	promotion := &hold.Promotion{Target: "x", Term: 4}
	r := hold.Record{Promotion: promotion}.WithOwner(a).WithOwner(b)
	require.True(t, r.IsOwnedBy(b))
	require.Equal(t, []hold.Owner{{Instance: "a", Incarnation: 1}}, r.Former)
	require.Equal(t, promotion, r.Promotion)
	restarted := a
	restarted.Incarnation = 5
	returned := r.WithOwner(restarted)
	require.Equal(t, []hold.Owner{{Instance: "b", Incarnation: 2}}, returned.Former, "an earlier run of the same instance has ended")
	value, err := returned.Encode()
	require.NoError(t, err)
	decoded, err := hold.Decode(value)
	require.NoError(t, err)
	require.Equal(t, returned, decoded)
	_, err = hold.Decode([]byte("{"))
	require.Error(t, err)
}

func TestStandbyLeaseIsShorterUntilStandbyBecomesOwner(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	lease := hold.NewStandbyLease(c, 7, now)
	now = now.Add(hold.StandbyLeaseDuration)
	require.False(t, lease.Valid())
	lease.RenewStandby(7, now)
	now = now.Add(hold.StandbyLeaseDuration - time.Second)
	require.True(t, lease.Valid(), "the record still named it as the standby")
	now = now.Add(time.Second)
	require.False(t, lease.Valid(), "a standby works no longer than StandbyLeaseDuration after its last read")
	lease.Renew(8, now)
	now = now.Add(hold.StandbyLeaseDuration)
	require.True(t, lease.Valid(), "the record now names it as the owner")
	record := hold.Record{Owner: hold.Owner{Instance: "a", Incarnation: 1}, Standby: &hold.Owner{Instance: "b", Incarnation: 2}}
	require.True(t, record.HasStandby(fleet.Instance{ID: "b", Incarnation: 2}))
	require.False(t, record.HasStandby(fleet.Instance{ID: "b", Incarnation: 3}))
	next := record.WithOwner(fleet.Instance{ID: "c", Incarnation: 1})
	require.Len(t, next.Former, 2, "the standby might still work as well")
	require.Nil(t, next.Standby)
}

// TestRecordSaysWhenItLacksFormerOwners moves a database more often than the record has room for, as in a fleet whose instances are
// stopped in turn. The owner that is no longer listed might still work.
func TestRecordSaysWhenItLacksFormerOwners(t *testing.T) {
	r := hold.Record{}
	for n := range 17 {
		r = r.WithOwner(fleet.Instance{ID: types.InstanceID(rune('a' + n)), Incarnation: 1})
	}
	require.Len(t, r.Former, 16)
	require.False(t, r.FormerOmitted)
	r = r.WithOwner(fleet.Instance{ID: "z", Incarnation: 1})
	require.True(t, r.FormerOmitted)
	require.True(t, r.WithOwner(fleet.Instance{ID: "y", Incarnation: 1}).FormerOmitted, "the next owner has to know as well")
	require.False(t, r.WithoutFormer().FormerOmitted)
}

// TestRecordListsEachFormerInstanceOnce moves a database between the same few instances, some of which are restarted meanwhile. If each
// move took room in the record, all later promotions would have to wait although every former owner can be asked.
func TestRecordListsEachFormerInstanceOnce(t *testing.T) {
	r := hold.Record{}
	for n := range 40 {
		r = r.WithOwner(fleet.Instance{ID: types.InstanceID(rune('a' + n%4)), Incarnation: fleet.Incarnation(1 + n/8)})
		r.Standby = &hold.Owner{Instance: "s", Incarnation: fleet.Incarnation(1 + n/8)}
	}
	require.False(t, r.FormerOmitted)
	require.ElementsMatch(t, []hold.Owner{
		{Instance: "a", Incarnation: 5}, {Instance: "b", Incarnation: 5}, {Instance: "c", Incarnation: 5}, {Instance: "s", Incarnation: 5},
	}, r.Former)
}

func TestRecordOfARestoredStoreMayLackFormerOwners(t *testing.T) {
	const first, second = types.Era(1), types.Era(2)
	a, b := fleet.Instance{ID: "a", Incarnation: 1}, fleet.Instance{ID: "b", Incarnation: 2}
	r := hold.Record{}.WithOwner(a).WrittenIn(first, false)
	require.False(t, r.IsFromCopy(first))
	require.False(t, r.LacksFormer(first), "nothing can have been lost before the first record")
	require.True(t, r.IsFromCopy(second))
	require.True(t, r.LacksFormer(second))
	claimed := r.WithOwner(b).WrittenIn(second, false)
	require.False(t, claimed.IsFromCopy(second))
	require.True(t, claimed.LacksFormer(second), "a lost owner may still work")
	require.False(t, claimed.WrittenIn(second, true).LacksFormer(second))
	require.False(t, hold.Record{}.IsFromCopy(second), "written before eras were recorded")
}
