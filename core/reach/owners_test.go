package reach_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/reach"
	"turmericpulley/core/types"
)

const database = types.DatabaseID("db")

// manualClock is a clock that the test advances.
type manualClock struct{ now clock.Moment }

func newManualClock() *manualClock { return &manualClock{now: clock.Moment(time.Hour)} }

func (m *manualClock) clock() clock.Clock { return clock.Manual(func() clock.Moment { return m.now }) }

func (m *manualClock) advance(d time.Duration) { m.now = m.now.Add(d) }

func TestRequestsWaitWhileATakeoverMayBringAnOwner(t *testing.T) {
	c := newManualClock()
	owners := reach.NewOwners(c.clock())
	require.False(t, owners.Refuse(database))
	began := c.now
	for range 10 {
		owners.RecordFailure(database, began)
		require.False(t, owners.Refuse(database))
		require.False(t, owners.Unreached(database))
		require.True(t, owners.Missing(database))
		c.advance(100 * time.Millisecond)
	}
	c.advance(200 * time.Millisecond)
	require.True(t, owners.Refuse(database))
	require.True(t, owners.Unreached(database))
	require.False(t, owners.Refuse("other"))
	require.True(t, owners.RecordFailure(database, c.now), "requests are refused from now on")
	require.False(t, owners.RecordFailure(database, c.now), "it has been reported")
	require.True(t, owners.RecordSuccess(database), "the end of the refusals")
	require.False(t, owners.RecordSuccess(database))
	require.False(t, owners.Refuse(database))
}

func TestOutageGoesOnWhenTheStandbyServesNoLonger(t *testing.T) {
	c := newManualClock()
	owners := reach.NewOwners(c.clock())
	owners.RecordBridged(database)
	require.False(t, owners.Bridged(database), "there is no outage")
	owners.RecordFailure(database, c.now)
	c.advance(1500 * time.Millisecond)
	owners.RecordBridged(database)
	require.False(t, owners.Refuse(database), "the standby serves")
	require.False(t, owners.Missing(database))
	require.True(t, owners.Bridged(database))
	require.False(t, owners.BeginSearch(database))
	c.advance(4 * time.Second)
	owners.RecordFailure(database, c.now)
	require.True(t, owners.Refuse(database), "another takeover is not to be expected")
	require.False(t, owners.Bridged(database))
}

func TestOutageBeginsAfterTheLastAnswerToAnotherRequest(t *testing.T) {
	c := newManualClock()
	owners := reach.NewOwners(c.clock())
	began := c.now
	c.advance(time.Second)
	owners.RecordSuccess(database)
	c.advance(500 * time.Millisecond)
	owners.RecordFailure(database, began)
	require.False(t, owners.Refuse(database), "the owner has answered half a second ago")
	c.advance(800 * time.Millisecond)
	require.True(t, owners.Refuse(database))
}

func TestOutageIsForgottenWithoutFurtherFailures(t *testing.T) {
	c := newManualClock()
	owners := reach.NewOwners(c.clock())
	owners.RecordFailure(database, c.now)
	c.advance(1900 * time.Millisecond)
	require.True(t, owners.Refuse(database))
	c.advance(200 * time.Millisecond)
	require.False(t, owners.Refuse(database), "the last attempt is long ago")
}

func TestOneSearchRunsWhileRequestsArrive(t *testing.T) {
	c := newManualClock()
	owners := reach.NewOwners(c.clock())
	require.False(t, owners.BeginSearch(database), "there is no outage")
	owners.RecordFailure(database, c.now)
	require.True(t, owners.BeginSearch(database))
	require.False(t, owners.BeginSearch(database), "a search runs")
	for range 9 {
		c.advance(time.Second)
		owners.RecordFailure(database, c.now)
		require.True(t, owners.ContinueSearch(database))
	}
	c.advance(time.Second)
	owners.RecordFailure(database, c.now)
	require.False(t, owners.ContinueSearch(database), "no request has arrived for ten seconds")
	require.True(t, owners.BeginSearch(database), "the next failure begins another search")
	owners.RecordSuccess(database)
	require.False(t, owners.ContinueSearch(database))
}
