package node

import (
	"context"
	"strings"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// ownRecordsMaxAge is the age up to which an owner uses a read that it made for its followers.
	ownRecordsMaxAge = 300 * time.Millisecond
	// renewalCheckInterval is the time between two checks whether the leases have to be renewed.
	renewalCheckInterval = 500 * time.Millisecond
	// readerRenewalPeriod is how old the read of a store reader may be before this instance reads the owner records itself. A
	// reader hands on reads of up to recordsMaxAge and answers after followTimeout at the latest.
	readerRenewalPeriod = 2 * time.Second
	// maxSingleRenewals is the number of records up to which an owner that follows store readers reads just these.
	maxSingleRenewals = 8
)

// newRecordsReader returns the reader of all owner records, which go into the directory.
func newRecordsReader(n *Node) *sharedReader {
	return &sharedReader{
		node: n, prefix: ownersPrefix,
		databaseOf: func(item Item) (types.DatabaseID, bool) {
			n.directory.apply(item)
			return types.DatabaseID(strings.TrimPrefix(item.Key, ownersPrefix)), true
		},
		complete: func(items []Item, revision types.Revision) { n.directory.dropMissing(ownersPrefix, items, revision) },
	}
}

// renewLeases renews the leases of the databases whose record names this instance as the owner or the standby, at most once every
// renewInterval. It reads the owner records itself unless a store reader has lately handed on a read that renewed all of them: one by one, as
// long as they are few and it has no followers that need those of others.
//
// A lease counts from the sending of the read that showed the record, whoever sent it. A reader that was suspended between the
// read and handing it on therefore shortens the lease, and never lengthens it.
func (m *ownershipManager) renewLeases(ctx context.Context) {
	n := m.node
	now := n.settings.Clock.Now()
	if m.renewedFromReader.isWithin(readerRenewalPeriod, now) || m.lastRenewal.isWithin(renewInterval-renewalCheckInterval/2, now) {
		return
	}
	m.lastRenewal.set(now)
	if held := n.directory.heldDatabases(); len(held) <= maxSingleRenewals && len(n.followedReaders()) > 0 && m.renewEach(ctx, held) {
		return
	}
	reading, err := m.records.recent(ctx, ownRecordsMaxAge)
	if err != nil {
		n.logger.Warn("leases not renewed", "error", err)
		return
	}
	for database, records := range reading.byDatabase {
		m.renewLease(database, records[0].Revision, reading.sent)
	}
}

// renewEach renews the leases of the databases from a read of each record, and reports whether the store holds and has sent all of them.
func (m *ownershipManager) renewEach(ctx context.Context, databases []string) bool {
	n := m.node
	for _, id := range databases {
		database := types.DatabaseID(id)
		sent := n.settings.Clock.Now()
		item, found, err := n.store.Get(ctx, ownerKey(database))
		if err != nil || !found {
			return false
		}
		n.directory.apply(item)
		m.renewLease(database, item.Revision, sent)
	}
	return true
}

// renewFromReader renews leases from a read of the owner records that a store reader sent at the given moment and handed on.
func (m *ownershipManager) renewFromReader(records []*wire.RecordRevision, sent clock.Moment) {
	if len(records) == 0 {
		return
	}
	renewed := 0
	for _, record := range records {
		if m.renewLease(types.DatabaseID(record.GetDatabase()), types.Revision(record.GetRevision()), sent) {
			renewed++
		}
	}
	if renewed == len(m.node.directory.heldDatabases()) {
		m.renewedFromReader.set(sent)
	}
}

// renewLease renews the lease of a database from a read, sent at the given moment, that showed the owner record at the revision.
// It reports whether the record at just this revision is known here and names this instance.
func (m *ownershipManager) renewLease(database types.DatabaseID, revision types.Revision, sent clock.Moment) bool {
	n := m.node
	record, known := n.directory.owner(database)
	if !known || record.lost || record.revision != revision {
		return false
	}
	owned := m.get(database)
	if owned != nil && record.IsOwnedBy(n.settings.Self) {
		owned.renew(record, sent)
		return true
	}
	if record.HasStandby(n.settings.Self) {
		m.renewStandby(database, owned, standbyRenewal{types.Epoch(revision), sent})
		return true
	}
	return false
}
