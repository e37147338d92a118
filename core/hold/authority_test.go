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
	a := hold.NewAuthority(c, 7, now)
	require.True(t, a.Valid())
	now = now.Add(hold.Duration)
	require.False(t, a.Valid())
	require.Zero(t, a.Left())
}

func TestAuthorityCountsFromTheSendingOfAConfirmation(t *testing.T) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	a := hold.NewAuthority(c, 7, now)
	sent := now.Add(4 * time.Second)
	now = now.Add(6 * time.Second)
	a.Confirm(7, sent)
	require.InDelta(t, float64(hold.Duration-2*time.Second), float64(a.Left()), float64(time.Second/2))
	a.Confirm(6, now)
	require.InDelta(t, float64(hold.Duration-2*time.Second), float64(a.Left()), float64(time.Second/2), "an older epoch confirms nothing")
	a.Confirm(7, sent.Add(-time.Second))
	require.InDelta(t, float64(hold.Duration-2*time.Second), float64(a.Left()), float64(time.Second/2), "a late answer takes nothing away")
	a.Revoke()
	a.Confirm(9, now)
	require.False(t, a.Valid())
}

func TestRecordsNameAllWhoMightStillWork(t *testing.T) {
	a, b := fleet.Instance{ID: "a", Incarnation: 1}, fleet.Instance{ID: "b", Incarnation: 2}
	promotion := &hold.Promotion{Target: "x", Term: 4}
	r := hold.Record{Promotion: promotion}.HandedTo(a).HandedTo(b)
	require.True(t, r.IsOf(b))
	require.Equal(t, []hold.Holder{{Instance: "a", Incarnation: 1}}, r.Former)
	require.Equal(t, promotion, r.Promotion)
	restarted := a
	restarted.Incarnation = 5
	back := r.HandedTo(restarted)
	require.Equal(t, []hold.Holder{{Instance: "b", Incarnation: 2}}, back.Former, "an earlier run of the same instance has ended")
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
	a := hold.NewDeputyAuthority(c, 7, now)
	now = now.Add(hold.DeputyDuration)
	require.False(t, a.Valid())
	a.Nominate(7, now)
	now = now.Add(hold.DeputyDuration - time.Second)
	require.True(t, a.Valid(), "the record still named it")
	now = now.Add(time.Second)
	require.False(t, a.Valid(), "as a deputy it works no longer than that after any reading")
	a.Confirm(8, now)
	now = now.Add(hold.DeputyDuration)
	require.True(t, a.Valid(), "the record names it as the owner now")
	record := hold.Record{Holder: hold.Holder{Instance: "a", Incarnation: 1}, Deputy: &hold.Holder{Instance: "b", Incarnation: 2}}
	require.True(t, record.HasDeputy(fleet.Instance{ID: "b", Incarnation: 2}))
	require.False(t, record.HasDeputy(fleet.Instance{ID: "b", Incarnation: 3}))
	next := record.HandedTo(fleet.Instance{ID: "c", Incarnation: 1})
	require.Len(t, next.Former, 2, "the deputy might still work as well")
	require.Nil(t, next.Deputy)
}
