package node

import (
	"context"
	"math"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/fleet"
	"turmericpulley/core/hold"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// stopReportTimeout bounds a stop report, which may delay the end of the process.
const stopReportTimeout = 300 * time.Millisecond

// stopReport says that a run of an instance does no work for a database under epochs before the given one.
type stopReport struct {
	epoch      types.Epoch
	receivedAt clock.Moment
}

// allEpochs is the epoch of the report of a process that is about to end.
const allEpochs types.Epoch = math.MaxUint64

// reportStop tells the owner of the database that this instance has stopped working for it: under epochs before the owner's, or under all
// of them when the process is about to end. Otherwise a promotion that follows soon would have to wait for the end of this instance's
// lease, because a process that has ended cannot be asked.
func (m *ownershipManager) reportStop(database types.DatabaseID, processEnds bool) {
	n := m.node
	record, known := n.directory.owner(database)
	owner, listed := n.directory.instance(record.Instance)
	if !known || record.lost || !listed || record.Instance == n.settings.Self.ID {
		return
	}
	if !processEnds && record.HasStandby(n.settings.Self) {
		// The standby has to be able to act, and can be asked.
		return
	}
	epoch := types.Epoch(record.revision)
	if processEnds {
		epoch = allEpochs
	}
	m.mu.Lock()
	working := m.byDatabase[database] != nil || len(m.draining[database]) > 0
	if !working {
		m.fencedEpochs[database] = max(m.fencedEpochs[database], epoch)
	}
	m.mu.Unlock()
	if working {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopReportTimeout)
	defer cancel()
	_, err := n.call(ctx, owner.PeerAddress, &wire.Call{Kind: &wire.Call_Stopped{Stopped: &wire.Stopped{
		Database: string(database), Instance: string(n.settings.Self.ID), Incarnation: uint64(n.settings.Self.Incarnation), Epoch: uint64(epoch),
	}}})
	n.logger.Info("stop reported to the owner", "database", database, "owner", owner.ID, "epoch", epoch, "error", err)
}

// receiveStopReport records the report of a former owner or standby. It forgets those whose leases have ended anyway.
func (m *ownershipManager) receiveStopReport(stopped *wire.Stopped) {
	database, now := types.DatabaseID(stopped.GetDatabase()), m.node.settings.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	reports := m.stopReports[database]
	if reports == nil {
		reports = map[hold.Owner]stopReport{}
		m.stopReports[database] = reports
	}
	for former, r := range reports {
		if now.Sub(r.receivedAt) > hold.LeaseDuration {
			delete(reports, former)
		}
	}
	former := hold.Owner{Instance: types.InstanceID(stopped.GetInstance()), Incarnation: fleet.Incarnation(stopped.GetIncarnation())}
	reports[former] = stopReport{max(reports[former].epoch, types.Epoch(stopped.GetEpoch())), now}
}

// hasReportedStop reports whether the former owner or standby has reported that it does no work for the database under epochs before the
// given one.
func (m *ownershipManager) hasReportedStop(database types.DatabaseID, former hold.Owner, epoch types.Epoch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, reported := m.stopReports[database][former]
	return reported && r.epoch >= epoch
}
