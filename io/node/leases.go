package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"turmericpulley/core/clock"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// recordsReading is one complete, linearizable read of all owner records: when it was sent, and the revisions of the records and of the
// store.
type recordsReading struct {
	sent      clock.Moment
	revisions map[types.DatabaseID]types.Revision
	// storeRevision is the revision of the store that the read showed.
	storeRevision types.Revision
}

// recordsReader reads all owner records; callers that need them at the same moment share one call to the store.
type recordsReader struct {
	node  *Node
	calls singleflight.Group

	mu   sync.Mutex
	last recordsReading
	// failed is when the last read failed; zero after one that did not.
	failed moment
}

const (
	// sharedReadTimeout bounds how long a store reader holds a follower's request for a read of the owner records. With
	// followTimeout it stays below followAnswerMargin, so that a store that does not answer does not make the reader look silent.
	sharedReadTimeout = 250 * time.Millisecond
	// failedReadPause is the time after a failed read during which followers get none.
	failedReadPause = time.Second
	// ownRecordsMaxAge is the age up to which an owner uses a read that it made for its followers.
	ownRecordsMaxAge = 300 * time.Millisecond
	// renewalCheckInterval is the time between two checks whether the leases have to be renewed.
	renewalCheckInterval = 500 * time.Millisecond
	// readerRenewalPeriod is how old the read of a store reader may be before this instance reads the owner records itself. A
	// reader hands on reads of up to recordsMaxAge and answers after followTimeout at the latest.
	readerRenewalPeriod = 2 * time.Second
)

// recent returns a read of all owner records that is at most as old as maxAge.
func (r *recordsReader) recent(ctx context.Context, maxAge time.Duration) (recordsReading, error) {
	r.mu.Lock()
	last := r.last
	r.mu.Unlock()
	if last.revisions != nil && r.node.settings.Clock.Since(last.sent) <= maxAge {
		return last, nil
	}
	select {
	case result := <-r.calls.DoChan("", func() (any, error) { return r.read() }):
		reading, _ := result.Val.(recordsReading)
		return reading, result.Err
	case <-ctx.Done():
		return recordsReading{}, errors.Wrap(ctx.Err(), "waiting for the owner records")
	}
}

// read reads all owner records from the store.
func (r *recordsReader) read() (recordsReading, error) {
	n := r.node
	sent := n.settings.Clock.Now()
	items, revision, err := n.store.Range(n.ctx, ownersPrefix)
	if err != nil {
		r.failed.set(n.settings.Clock.Now())
		return recordsReading{}, err
	}
	r.failed.set(0)
	reading := recordsReading{sent: sent, revisions: make(map[types.DatabaseID]types.Revision, len(items)), storeRevision: revision}
	for _, item := range items {
		n.directory.apply(item)
		reading.revisions[types.DatabaseID(strings.TrimPrefix(item.Key, ownersPrefix))] = item.Revision
	}
	n.directory.dropMissing(ownersPrefix, items, revision)
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent > r.last.sent {
		r.last = reading
	}
	return reading, nil
}

// forFollower returns a read of all owner records for a follower; none when the store does not serve this instance.
func (r *recordsReader) forFollower() (recordsReading, bool) {
	n := r.node
	if n.storeSync.freshness.Remaining() == 0 || r.failed.isWithin(failedReadPause, n.settings.Clock.Now()) {
		return recordsReading{}, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, sharedReadTimeout)
	defer cancel()
	reading, err := r.recent(ctx, recordsMaxAge)
	if err != nil {
		n.logger.Debug("owner records not read for a follower", "error", err)
	}
	return reading, err == nil
}

// renewLeases renews the leases of the databases whose record names this instance as the owner or the standby, at most once every
// renewInterval. It reads the owner records itself unless a store reader has lately handed on a read that renewed all of them.
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
	reading, err := m.records.recent(ctx, ownRecordsMaxAge)
	if err != nil {
		n.logger.Warn("leases not renewed", "error", err)
		return
	}
	for database, revision := range reading.revisions {
		m.renewLease(database, revision, reading.sent)
	}
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
