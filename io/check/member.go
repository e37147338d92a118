package check

import (
	"path/filepath"
	"strconv"
	"testing"

	"turmericpulley/core/types"
)

// Member is a stand-in for a database member in its own process.
type Member struct {
	*Process
	Target     types.TargetID
	DataCentre types.DataCentre
	// ReplicationLink is the link from the other members to this one. The group's document lists its address.
	ReplicationLink *Link
	// DirectAddress is the address on which the member listens.
	DirectAddress string
}

// newMember starts a member: the primary if primary is nil, else a replica of it.
func newMember(tb testing.TB, layout Layout, target types.TargetID, primary *Member) *Member {
	tb.Helper()
	m := &Member{Target: target, DirectAddress: NewAddresses(tb, 1)[0]}
	m.ReplicationLink = NewLink(tb, string(target)+"-replication", m.DirectAddress)
	m.ReplicationLink.Delay(layout.MemberDelay)
	arguments := []string{
		"standin", "member", "--id", string(target), "--address", m.DirectAddress, "--advertised", m.ReplicationLink.Address(),
		"--slots", strconv.Itoa(layout.Slots), "--connections", strconv.Itoa(layout.Connections),
		"--connect-cost", layout.ConnectCost.String(), "--statement-time", layout.StatementTime.String(),
		"--receive-lag", layout.ReceiveLag.String(), "--apply-lag", layout.ApplyLag.String(),
		"--members", strconv.Itoa(layout.Members), "--grace", layout.Grace.String(),
		"--state-path", filepath.Join(tb.TempDir(), string(target)+".state"),
	}
	if primary == nil {
		arguments = append(arguments, "--role", "primary")
	} else {
		arguments = append(arguments, "--role", "replica", "--primary", primary.ReplicationLink.Address())
	}
	m.Process = NewProcess(tb, string(target), arguments...)
	return m
}
