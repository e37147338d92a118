package hold_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
)

// TestAuthorityEndsDuringASuspension moves the machine's clock while the process stands still, as a suspension does.
func TestAuthorityEndsDuringASuspension(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	a := hold.NewLease(c, 7, now)
	require.True(t, a.Valid())
	now = now.Add(hold.LeaseDuration)
	require.False(t, a.Valid())
	require.Zero(t, a.Remaining())
}

func TestAuthorityCountsFromTheSendingOfAConfirmation(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	a := hold.NewLease(c, 7, now)
	sent := now.Add(4 * time.Second)
	now = now.Add(6 * time.Second)
	a.Renew(7, sent)
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(a.Remaining()), float64(time.Second/2))
	a.Renew(6, now)
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(a.Remaining()), float64(time.Second/2), "an older epoch confirms nothing")
	a.Renew(7, sent.Add(-time.Second))
	require.InDelta(t, float64(hold.LeaseDuration-2*time.Second), float64(a.Remaining()), float64(time.Second/2), "a late answer takes nothing away")
	a.Revoke()
	a.Renew(9, now)
	require.False(t, a.Valid())
}

func TestRecordsNameAllWhoMightStillWork(t *testing.T) {
	a, b := fleet.Instance{ID: "a", Incarnation: 1}, fleet.Instance{ID: "b", Incarnation: 2}
	promotion := &hold.Promotion{Target: "x", Term: 4}
	r := hold.Record{Promotion: promotion}.WithOwner(a).WithOwner(b)
	require.True(t, r.IsOwnedBy(b))
	require.Equal(t, []hold.Owner{{Instance: "a", Incarnation: 1}}, r.Former)
	require.Equal(t, promotion, r.Promotion)
	restarted := a
	restarted.Incarnation = 5
	back := r.WithOwner(restarted)
	require.Equal(t, []hold.Owner{{Instance: "b", Incarnation: 2}}, back.Former, "an earlier run of the same instance has ended")
	value, err := back.Encode()
	require.NoError(t, err)
	decoded, err := hold.Decode(value)
	require.NoError(t, err)
	require.Equal(t, back, decoded)
	_, err = hold.Decode([]byte("{"))
	require.Error(t, err)
}

func TestADeputysAuthorityIsShorterUntilItIsTheOwner(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	a := hold.NewStandbyLease(c, 7, now)
	now = now.Add(hold.StandbyLeaseDuration)
	require.False(t, a.Valid())
	a.RenewStandby(7, now)
	now = now.Add(hold.StandbyLeaseDuration - time.Second)
	require.True(t, a.Valid(), "the record still named it")
	now = now.Add(time.Second)
	require.False(t, a.Valid(), "as a deputy it works no longer than that after any reading")
	a.Renew(8, now)
	now = now.Add(hold.StandbyLeaseDuration)
	require.True(t, a.Valid(), "the record names it as the owner now")
	record := hold.Record{Owner: hold.Owner{Instance: "a", Incarnation: 1}, Standby: &hold.Owner{Instance: "b", Incarnation: 2}}
	require.True(t, record.HasStandby(fleet.Instance{ID: "b", Incarnation: 2}))
	require.False(t, record.HasStandby(fleet.Instance{ID: "b", Incarnation: 3}))
	next := record.WithOwner(fleet.Instance{ID: "c", Incarnation: 1})
	require.Len(t, next.Former, 2, "the deputy might still work as well")
	require.Nil(t, next.Standby)
}
