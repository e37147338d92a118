package cover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/clock"
	"turmericpulley/core/cover"
)

// newEvidence returns evidence and a function that lets time pass.
func newEvidence() (*cover.Freshness, clock.Clock, func(time.Duration)) {
	now := clock.Moment(time.Hour)
	c := clock.Manual(func() clock.Moment { return now })
	return cover.New(c), c, func(span time.Duration) { now = now.Add(span) }
}

func TestEvidenceCoversForItsLimitOnly(t *testing.T) {
	e, c, pass := newEvidence()
	require.Zero(t, e.Remaining(), "nothing was heard")
	sent := c.Now()
	pass(100 * time.Millisecond)
	e.RecordRead(sent)
	require.Equal(t, cover.MaxAge-100*time.Millisecond, e.Remaining(), "a reading is as old as its sending")
	pass(cover.MaxAge)
	require.Zero(t, e.Remaining(), "also after the machine was suspended, as the clock counts that time")
}

func TestAWatchThatWaitedToItsEndIsYoungerThanOneThatBroughtChanges(t *testing.T) {
	const wait = 700 * time.Millisecond
	for name, test := range map[string]struct {
		took    time.Duration
		changes int
		age     time.Duration
	}{
		"waited to its end": {wait + 10*time.Millisecond, 0, 10 * time.Millisecond},
		"brought a change":  {300 * time.Millisecond, 1, 300 * time.Millisecond},
		"cut short":         {300 * time.Millisecond, 0, 300 * time.Millisecond},
		"change at its end": {wait + 10*time.Millisecond, 1, wait + 10*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e, c, pass := newEvidence()
			sent := c.Now()
			pass(test.took)
			e.RecordWatch(sent, wait, test.changes)
			age, known := e.Age()
			require.True(t, known)
			require.Equal(t, test.age, age)
		})
	}
}

func TestWhatAnAnswerTookOnItsWayCountsAsAge(t *testing.T) {
	e, c, pass := newEvidence()
	sent := c.Now()
	pass(900 * time.Millisecond)
	e.RecordPeer(sent, 600*time.Millisecond, 50*time.Millisecond)
	age, _ := e.Age()
	require.Equal(t, 350*time.Millisecond, age, "300 ms under way and 50 ms at the other instance")
	e.RecordPeer(sent, 0, time.Hour)
	again, _ := e.Age()
	require.Equal(t, age, again, "older evidence changes nothing")
}
