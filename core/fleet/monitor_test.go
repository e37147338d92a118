package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/fleet"
)

func TestMonitorSuspectsOnlyAfterAFailedProbe(t *testing.T) {
	now := time.Now()
	m := fleet.NewMonitor(now)
	require.Equal(t, fleet.SendHeartbeat{At: now, Deadline: now.Add(600 * time.Millisecond)}, m.Next())
	require.False(t, m.RecordResponse(now, now.Add(time.Millisecond)))
	require.Equal(t, now.Add(200*time.Millisecond), m.Next().(fleet.SendHeartbeat).At)

	late := now.Add(601 * time.Millisecond)
	m.RecordMissedHeartbeat(late)
	require.Equal(t, fleet.SendProbe{At: late}, m.Next())
	require.False(t, m.Suspected())
	m.RecordInconclusiveProbe(late)
	require.False(t, m.Suspected(), "an inconclusive probe causes no suspicion")
	require.Equal(t, fleet.SendProbe{At: late.Add(500 * time.Millisecond)}, m.Next())
	require.True(t, m.RecordFailedProbe(late))
	require.True(t, m.Suspected())
	require.Equal(t, fleet.SendProbe{At: late.Add(500 * time.Millisecond)}, m.Next())
	require.False(t, m.RecordFailedProbe(late.Add(500*time.Millisecond)), "already suspected")
	require.True(t, m.RecordResponse(late, late), "no longer suspected")
	require.IsType(t, fleet.SendHeartbeat{}, m.Next())
}

func TestRemovalNeedsTwoReportersUnlessInstanceIsAlone(t *testing.T) {
	require.Equal(t, 2, fleet.ProposerView{Live: 9, Monitored: 8, Suspected: 8, SinceLastContact: 4 * time.Second}.RequiredReporters())
	require.Equal(t, 1, fleet.ProposerView{Live: 9, Monitored: 8, Suspected: 8, SinceLastContact: 5 * time.Second}.RequiredReporters())
	require.Equal(t, 1, fleet.ProposerView{Live: 2, Monitored: 1, Suspected: 1}.RequiredReporters())
	require.Equal(t, 500*time.Millisecond, fleet.ProposerView{Live: 9, Monitored: 8, Suspected: 3}.RemovalDelay(1))
	require.Equal(t, 2*time.Second, fleet.ProposerView{Live: 9, Monitored: 8, Suspected: 5}.RemovalDelay(0), "suspects more than half")
}

func TestOnlyRecentReportsOfMembersCount(t *testing.T) {
	now, members, reports := time.Now(), membershipOf(4), fleet.NewFailureReports()
	failed := fleet.IncarnationID{ID: "i1", Incarnation: 1}
	report := fleet.FailureReport{Reporter: "i2", Failed: "i1", Incarnation: 1}
	reports.Add(report, now)
	reports.Add(report, now)
	require.Equal(t, 1, reports.CountReporters(failed, members, now), "each reporter counts once")
	report.Reporter = "unlisted"
	reports.Add(report, now)
	require.Equal(t, 1, reports.CountReporters(failed, members, now))
	report.Reporter = "i3"
	reports.Add(report, now.Add(2*time.Second))
	require.Equal(t, 2, reports.CountReporters(failed, members, now.Add(2*time.Second)))
	require.Equal(t, 1, reports.CountReporters(failed, members, now.Add(4*time.Second)))
	reports.Forget(failed)
	require.Zero(t, reports.CountReporters(failed, members, now))
}
