package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/acct"
	"turmericpulley/core/clock"
	"turmericpulley/core/hold"
	"turmericpulley/core/pause"
	"turmericpulley/core/quota"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
	"turmericpulley/io/group"
)

const (
	// renewInterval is the time between two reads of the owner records, which renew the leases of owners and standbys.
	renewInterval = 1500 * time.Millisecond
	// reconcileInterval is the longest time between two calls of reconcileAll.
	reconcileInterval = 100 * time.Millisecond
	// claimRankDelay is how much later each candidate claims a database than the candidate of the next better rank.
	claimRankDelay = 150 * time.Millisecond
	// claimRetryDelay is the time between two attempts to claim a database while the store does not answer.
	claimRetryDelay = 400 * time.Millisecond
)

// ownershipManager decides for each database whether this instance owns it, and starts and ends its ownerships.
type ownershipManager struct {
	node     *Node
	detector *failureDetector
	records  *sharedReader
	// renewedFromReader is the sending of the last read of a store reader that renewed all leases of this instance.
	// lastRenewal is when this instance last began to renew them itself.
	renewedFromReader moment
	lastRenewal       moment

	mu         sync.Mutex
	byDatabase map[types.DatabaseID]*ownership
	// draining are the ownerships that have ended while their open transactions go on.
	draining map[types.DatabaseID][]*ownership
	// ending are those whose owner has not been told yet that this instance has stopped.
	ending map[*ownership]bool
	// stopReports are the reports of former owners and standbys that they have stopped.
	stopReports map[types.DatabaseID]map[hold.Owner]stopReport
	// ownerlessSince is the moment since which a database has no living owner. After a claim that the store did not answer, it
	// lies in the future, which delays the next claim.
	ownerlessSince map[types.DatabaseID]clock.Moment
	// members are the last known members of each database.
	members map[types.DatabaseID][]routes.Member
	// leaving is set during a planned stop: the instance then takes no further ownership.
	leaving bool
	// standbyRenewals are the last reads of the store that showed this instance as the standby of a database, and
	// receivedMembers the members that the database's owner sent to it. fencedEpochs are the highest epochs of fence
	// requests for a database; below that epoch this instance must not work for it, and at it not act as its standby.
	standbyRenewals map[types.DatabaseID]standbyRenewal
	receivedMembers map[types.DatabaseID][]routes.Member
	fencedEpochs    map[types.DatabaseID]types.Epoch
}

func newOwnershipManager(n *Node) *ownershipManager {
	return &ownershipManager{
		node: n, detector: newFailureDetector(n), records: newRecordsReader(n), byDatabase: map[types.DatabaseID]*ownership{},
		draining: map[types.DatabaseID][]*ownership{}, ending: map[*ownership]bool{}, stopReports: map[types.DatabaseID]map[hold.Owner]stopReport{},
		ownerlessSince: map[types.DatabaseID]clock.Moment{}, members: map[types.DatabaseID][]routes.Member{},
		standbyRenewals: map[types.DatabaseID]standbyRenewal{}, receivedMembers: map[types.DatabaseID][]routes.Member{},
		fencedEpochs: map[types.DatabaseID]types.Epoch{},
	}
}

// keepRenewed keeps the leases renewed while this instance is an owner or a standby. A store that does not answer blocks it for the
// duration of a call, but not run: a standby has to act for a dead owner meanwhile.
func (m *ownershipManager) keepRenewed(ctx context.Context) {
	ticker := time.NewTicker(renewalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if m.ownsAny() || m.node.directory.isStandby() {
				m.renewLeases(ctx)
			}
		}
	}
}

// newOwnership returns an ownership with the record and an expired lease, so that it gives no right to work yet.
func (m *ownershipManager) newOwnership(database routes.Database, record ownerRecord) *ownership {
	n := m.node
	return &ownership{
		node: n, database: database.ID, record: record, fenced: map[hold.Owner]bool{},
		standbys: map[hold.Owner]clock.Moment{}, drained: make(chan struct{}),
		lease: hold.NewLease(n.settings.Clock, 0, n.settings.Clock.Now().Add(-hold.LeaseDuration)),
	}
}

// start starts serving a database that this instance owns now, or for which it acts as the standby.
func (m *ownershipManager) start(database routes.Database, owned *ownership) {
	n := m.node
	owned.acquired, owned.began = n.settings.Clock.Now(), owned.lease.Epoch()
	owned.ledger = quota.NewLedger(n.settings.Clock, 0)
	owned.ledger.SetShare(quota.Standing{}, len(n.routes.Table().Databases))
	owned.group = group.New(group.Settings{
		Database: database.ID, Self: n.settings.Self, MaxConnections: database.MaxConnections,
		SyncReplicas: database.SyncReplicas, Dialer: n.settings.Dialer,
		Promoter: n.settings.Promoter, Ownership: owned, Clock: n.settings.Clock,
		Logger: n.logger, RequestLogger: n.settings.RequestLogger, Counters: &n.memberAnswers, RefreshMembers: n.memberEntries.refresh,
		Limiter: owned,
		Accounts: func() *acct.Directory {
			directory, _ := n.limits.accounts()
			return directory
		},
		Witnesses: n.findWitnesses,
		HandOver:  func(ctx context.Context, to types.InstanceID) bool { return m.handOverToWitness(ctx, owned, to) },
	})
	m.mu.Lock()
	m.byDatabase[database.ID] = owned
	delete(m.ownerlessSince, database.ID)
	if members := m.members[database.ID]; len(members) > 0 {
		owned.group.SetMembers(members)
	}
	fenced, epoch := m.fencedEpochs[database.ID], owned.lease.Epoch()
	m.mu.Unlock()
	if fenced > epoch || owned.isActing() && fenced == epoch {
		// The fence request arrived when this ownership was not registered yet, and has been answered.
		owned.lease.Revoke()
	}
	n.goroutines.Go(func() { (&borrower{limits: n.limits, ownership: owned}).run(n.ctx) })
	n.goroutines.Go(func() { owned.stopFormer(n.ctx) })
	n.memberEntries.start()
	n.directory.unsettle()
}

// endOwnership ends an ownership because the owner record names another instance, or because the lease of an acting standby
// has expired. Open transactions may still end within drainTimeout.
func (m *ownershipManager) endOwnership(owned *ownership, record ownerRecord) {
	m.node.logger.Info("database ownership lost", "database", owned.database, "owner", record.Instance, "revision", record.revision)
	m.mu.Lock()
	delete(m.byDatabase, owned.database)
	delete(m.members, owned.database)
	m.draining[owned.database] = append(m.draining[owned.database], owned)
	m.ending[owned] = true
	m.mu.Unlock()
	m.node.memberEntries.forget(owned.database)
	owned.group.Drain()
	m.node.goroutines.Go(func() {
		defer close(owned.drained)
		pause.For(m.node.ctx, drainTimeout)
		owned.lease.Revoke()
		m.mu.Lock()
		left := slices.DeleteFunc(m.draining[owned.database], func(other *ownership) bool { return other == owned })
		if m.draining[owned.database] = left; len(left) == 0 {
			delete(m.draining, owned.database)
		}
		m.mu.Unlock()
		m.reportStop(owned.database, false)
		m.mu.Lock()
		delete(m.ending, owned)
		m.mu.Unlock()
		owned.group.Close()
	})
}

// rereadRecord reads the owner record of a database from the store and reports whether the store answered.
func (m *ownershipManager) rereadRecord(ctx context.Context, database types.DatabaseID) bool {
	item, found, err := m.node.store.Get(ctx, ownerKey(database))
	switch {
	case err != nil:
	case found:
		m.node.directory.apply(item)
	default:
		m.node.directory.dropLost(ownerKey(database), m.node.store.Era())
	}
	return err == nil
}

// close ends all ownerships at once, and tells the owners of the databases for which this instance was an owner or the standby.
func (m *ownershipManager) close() {
	m.mu.Lock()
	all := m.byDatabase
	m.byDatabase = map[types.DatabaseID]*ownership{}
	ending := slices.Collect(maps.Keys(m.ending))
	m.mu.Unlock()
	var ends sync.WaitGroup
	for _, owned := range all {
		owned.lease.Revoke()
		ends.Go(func() {
			m.reportStop(owned.database, true)
			owned.group.Close()
		})
	}
	for _, database := range m.node.directory.heldDatabases() {
		if all[types.DatabaseID(database)] == nil {
			ends.Go(func() { m.reportStop(types.DatabaseID(database), true) })
		}
	}
	for _, owned := range ending {
		<-owned.drained
	}
	ends.Wait()
	m.detector.close()
}

// databases returns the databases that this instance owns, or for which it acts as the standby.
func (m *ownershipManager) databases() []types.DatabaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.byDatabase))
}

func (m *ownershipManager) get(database types.DatabaseID) *ownership {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.byDatabase[database]
}

func (m *ownershipManager) ownedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byDatabase)
}

func (m *ownershipManager) ownsAny() bool { return m.ownedCount() > 0 }

func (m *ownershipManager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}
