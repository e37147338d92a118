package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/pause"
	"turmericpulley/core/place"
	"turmericpulley/core/routes"
	"turmericpulley/core/types"
)

const (
	// entriesInterval is the time between two reads of the members' entries. A leaving member runs statements for another
	// 7 s, which is long enough to notice that it leaves.
	entriesInterval = 2 * time.Second
	// minEntriesInterval is the shortest time between the end of one read and the start of the next, and the age up to which a store reader
	// answers a request to read soon from a read that it has made for others.
	minEntriesInterval = 200 * time.Millisecond
	// entriesMaxAge is that age for the regular reads.
	entriesMaxAge = 500 * time.Millisecond
	// missingGracePeriod is how long an entry may be missing before its member counts as gone. Entries that expired while the
	// store was unavailable are back within two seconds.
	missingGracePeriod = 2500 * time.Millisecond
)

// memberEntries reads the entries that members keep in the store, as long as this instance owns a database. An instance that follows store
// readers gets from them the entries of its databases: all entries for each owner would grow with the square of the fleet.
type memberEntries struct {
	node *Node
	// reader reads the entries of all databases for this instance and for its followers.
	reader *sharedReader
	// refreshes holds at most one request to read the entries soon, and starts one to get those of a database that this instance has just
	// begun to own.
	refreshes chan struct{}
	starts    chan struct{}

	mu sync.Mutex
	// lastRecent is when a store reader last gave entries, or when this instance last had its turn to read all of them; turns counts those.
	lastRecent clock.Moment
	turns      int
	// known holds each member of the owned databases as its last entry described it. It includes members whose entry is missing.
	known map[types.TargetID]routes.Member
	// missingSince is when a known member's entry was first missing from a read.
	missingSince map[types.TargetID]clock.Moment
	// stays are the latest proofs that the members had not said yet that they leave, and readRevision is the revision of the last read.
	stays        map[types.TargetID]stay
	readRevision types.Revision
}

// stay is a read of the store, at the revision, that showed a run of a member without a notice that it leaves. It may have been
// another instance's read: revisions are the same for all, unlike their clocks.
type stay struct {
	startedUnixMs int64
	revision      types.Revision
}

func newMemberEntries(n *Node) *memberEntries {
	return &memberEntries{
		node: n, reader: newMembersReader(n), refreshes: make(chan struct{}, 1), starts: make(chan struct{}, 1),
		known: map[types.TargetID]routes.Member{}, missingSince: map[types.TargetID]clock.Moment{},
		stays: map[types.TargetID]stay{},
	}
}

// seed adds members that another instance sent, and returns them with the end of the use of those that leave. Entries that expired
// while the store was unavailable reappear only some time after it is available again; until then these members count as missing, not
// as unknown.
func (e *memberEntries) seed(members []routes.Member) []routes.Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	seeded := make([]routes.Member, 0, len(members))
	for _, m := range members {
		m = e.withLastUse(m)
		if _, known := e.known[m.Target]; !known {
			e.known[m.Target] = m
		}
		seeded = append(seeded, m)
	}
	return seeded
}

// refresh requests a read soon, without waiting for it.
func (e *memberEntries) refresh() { request(e.refreshes) }

// start requests the entries of a database that this instance has begun to own, without waiting for them: those of a read that was made
// already at once, and then a later read.
func (e *memberEntries) start() {
	request(e.starts)
	request(e.refreshes)
}

func request(requests chan<- struct{}) {
	select {
	case requests <- struct{}{}:
	default:
	}
}

// run reads the entries at each tick and at each request, as long as this instance owns a database.
func (e *memberEntries) run(ctx context.Context) {
	ticker := time.NewTicker(entriesInterval)
	defer ticker.Stop()
	for {
		maxAge := entriesMaxAge
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.refreshes:
			maxAge = minEntriesInterval
		}
		if e.update(ctx, maxAge) && !pause.For(ctx, minEntriesInterval) {
			return
		}
	}
}

// runStarts gets the entries of databases that this instance has begun to own. It does not wait for run, which pauses between two reads.
func (e *memberEntries) runStarts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.starts:
			e.update(ctx, entriesMaxAge)
		}
	}
}

// update takes over a read of the entries of the owned databases, of at most the given age from a store reader. It reports false when this
// instance owns no database.
func (e *memberEntries) update(ctx context.Context, maxAge time.Duration) bool {
	databases := e.node.ownerships.databases()
	if len(databases) == 0 {
		return false
	}
	reading, err := e.recent(ctx, databases, maxAge)
	if err != nil {
		e.node.logger.Debug("member entries not read", "error", err)
		return true
	}
	e.apply(databases, reading)
	return true
}

// apply takes over the entries of the databases, drops members whose entry has been missing for too long, and passes the members on.
func (e *memberEntries) apply(databases []types.DatabaseID, reading storeReading) {
	n := e.node
	e.mu.Lock()
	defer e.mu.Unlock()
	if reading.revision < e.readRevision {
		// Another store reader has handed on a later read before.
		return
	}
	e.readRevision = reading.revision
	for _, database := range databases {
		if n.ownerships.get(database) == nil {
			continue
		}
		present := map[types.TargetID]bool{}
		for _, item := range reading.byDatabase[database] {
			if m, usable := n.settings.Formats.ParseMember(item); usable {
				present[m.Target] = true
				e.applyMember(m, reading.revision)
			}
		}
		e.dropMissing(database, present, reading.sent)
		var members []routes.Member
		for _, m := range e.known {
			if m.Database == database {
				members = append(members, m)
			}
		}
		n.ownerships.setMembers(database, members)
	}
}

// applyMember takes over the entry of a member in a read that showed the revision. The caller holds the lock.
func (e *memberEntries) applyMember(m routes.Member, revision types.Revision) {
	switch known := e.known[m.Target]; {
	case m.Leaving:
	case !e.node.eras.restoredWithin(missingGracePeriod):
		e.stays[m.Target] = stay{m.StartedUnixMs, revision}
	case known.Leaving && known.StartedUnixMs == m.StartedUnixMs:
		// The store was restored from a copy without the notice, which is written again.
		m.Leaving = true
	}
	e.known[m.Target] = e.withLastUse(m)
	delete(e.missingSince, m.Target)
}

// dropMissing drops the members of the database whose entry has been missing for too long, as of a read that was sent at the moment. The
// caller holds the lock.
func (e *memberEntries) dropMissing(database types.DatabaseID, present map[types.TargetID]bool, sent clock.Moment) {
	for target, m := range e.known {
		if m.Database != database || present[target] {
			continue
		}
		since, missing := e.missingSince[target]
		if !missing {
			// The answer is later than the read, so that the time for which the entry was missing is not taken for longer than it was.
			e.missingSince[target] = e.node.settings.Clock.Now()
			continue
		}
		if sent.Sub(since) > missingGracePeriod {
			delete(e.known, target)
			delete(e.missingSince, target)
			delete(e.stays, target)
		}
	}
}

// forget drops what is known of the members of a database that this instance has ceased to own.
func (e *memberEntries) forget(database types.DatabaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for target, m := range e.known {
		if m.Database == database {
			delete(e.known, target)
			delete(e.missingSince, target)
		}
	}
}

// withLastUse returns the member with the end of its use if it leaves. The caller holds the lock.
func (e *memberEntries) withLastUse(m routes.Member) routes.Member {
	n := e.node
	if !m.Leaving {
		return m
	}
	last, known := e.stays[m.Target], e.known[m.Target]
	var stayed clock.Moment
	if last.startedUnixMs == m.StartedUnixMs {
		stayed = n.timeline.Before(last.revision)
	}
	m.UsableUntil = place.LastUse(stayed)
	if known.Leaving && known.StartedUnixMs == m.StartedUnixMs && known.UsableUntil >= m.UsableUntil {
		m.UsableUntil = known.UsableUntil
		return m
	}
	if stayed == 0 {
		n.logger.Warn("member leaves, age of its notice unknown", "member", m.Target, "stayedAt", last.revision)
		return m
	}
	n.logger.Info("member leaves", "member", m.Target, "stayedAt", last.revision, "maxAge", n.settings.Clock.Since(stayed).String(),
		"usableFor", n.settings.Clock.Until(m.UsableUntil).String())
	return m
}

// stayOf returns the revision at which this run of the member was last known not to leave; zero when there is none.
func (e *memberEntries) stayOf(m routes.Member) types.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	if last := e.stays[m.Target]; last.startedUnixMs == m.StartedUnixMs {
		return last.revision
	}
	return 0
}

// recordStay records what another instance has read: the revision at which this run of the member did not leave yet.
func (e *memberEntries) recordStay(m routes.Member, revision types.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if last := e.stays[m.Target]; last.startedUnixMs != m.StartedUnixMs || last.revision < revision {
		e.stays[m.Target] = stay{m.StartedUnixMs, revision}
	}
}

// forgetStays forgets the former members that are not among the present ones and that this instance has not read itself.
func (e *memberEntries) forgetStays(former, present []routes.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range former {
		_, known := e.known[m.Target]
		if !known && !slices.ContainsFunc(present, func(other routes.Member) bool { return other.Target == m.Target }) {
			delete(e.stays, m.Target)
		}
	}
}

// lastRead returns the revision of the last complete read.
func (e *memberEntries) lastRead() types.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.readRevision
}
