package check

import (
	"path/filepath"
	"strconv"
	"testing"

	"turmericpulley/core/types"
)

// Member is a database member in a process of its own.
type Member struct {
	*Process
	Target     types.TargetID
	DataCentre types.DataCentre
	// Replication is the path on which the other members reach this one; its address stands in the group's document.
	Replication *Link
	// Direct is where the member itself listens.
	Direct string
}

// newMember starts a member; the first of a database is its primary.
func newMember(tb testing.TB, layout Layout, target types.TargetID, primary *Member) *Member {
	tb.Helper()
	m := &Member{Target: target, Direct: NewAddresses(tb, 1)[0]}
	m.Replication = NewLink(tb, string(target)+"-replication", m.Direct)
	m.Replication.Delay(layout.MemberDelay)
	arguments := []string{
		"standin", "member", "--id", string(target), "--address", m.Direct, "--advertised", m.Replication.Address(),
		"--slots", strconv.Itoa(layout.Slots), "--connections", strconv.Itoa(layout.Connections),
		"--connect-cost", layout.ConnectCost.String(), "--statement-time", layout.StatementTime.String(),
		"--receive-lag", layout.ReceiveLag.String(), "--apply-lag", layout.ApplyLag.String(),
		"--members", strconv.Itoa(layout.Members), "--grace", layout.Grace.String(),
		"--state-path", filepath.Join(tb.TempDir(), string(target)+".state"),
	}
	if primary == nil {
		arguments = append(arguments, "--role", "primary")
	} else {
		arguments = append(arguments, "--role", "replica", "--primary", primary.Replication.Address())
	}
	m.Process = NewProcess(tb, string(target), arguments...)
	return m
}
