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
	// minEntriesInterval is the shortest time between the end of one read and the start of the next.
	minEntriesInterval = 200 * time.Millisecond
	// missingGracePeriod is how long an entry may be missing before its member counts as gone. Entries that expired while the
	// store was unavailable are back within two seconds.
	missingGracePeriod = 2500 * time.Millisecond
)

// memberEntries reads the entries that members keep in the store, as long as this instance owns a database.
type memberEntries struct {
	node *Node
	// refreshes holds at most one request to read the entries soon.
	refreshes chan struct{}

	mu sync.Mutex
	// known holds each member as its last entry described it. It includes members whose entry is missing.
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
		node: n, refreshes: make(chan struct{}, 1),
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
func (e *memberEntries) refresh() {
	select {
	case e.refreshes <- struct{}{}:
	default:
	}
}

// run reads the entries at each tick and at each request, as long as this instance owns a database.
func (e *memberEntries) run(ctx context.Context) {
	ticker := time.NewTicker(entriesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.refreshes:
		}
		if !e.node.ownerships.ownsAny() {
			continue
		}
		e.read(ctx)
		if !pause.For(ctx, minEntriesInterval) {
			return
		}
	}
}

// read reads all entries, drops members whose entry has been missing for too long, and passes the members on.
func (e *memberEntries) read(ctx context.Context) {
	n := e.node
	items, revision, err := n.store.Range(ctx, n.settings.Formats.MembersPrefix)
	if err != nil {
		n.logger.Debug("member entries not read", "error", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := n.settings.Clock.Now()
	present := map[types.TargetID]bool{}
	for _, item := range items {
		if m, usable := n.settings.Formats.ParseMember(item); usable {
			present[m.Target] = true
			switch known := e.known[m.Target]; {
			case m.Leaving:
			case !n.eras.restoredWithin(missingGracePeriod):
				e.stays[m.Target] = stay{m.StartedUnixMs, revision}
			case known.Leaving && known.StartedUnixMs == m.StartedUnixMs:
				// The store was restored from a copy without the notice, which is written again.
				m.Leaving = true
			}
			e.known[m.Target] = e.withLastUse(m)
			delete(e.missingSince, m.Target)
		}
	}
	for target := range e.known {
		if present[target] {
			continue
		}
		since, missing := e.missingSince[target]
		if !missing {
			e.missingSince[target] = now
			continue
		}
		if now.Sub(since) > missingGracePeriod {
			delete(e.known, target)
			delete(e.missingSince, target)
			delete(e.stays, target)
		}
	}
	e.readRevision = revision
	byDatabase := map[types.DatabaseID][]routes.Member{}
	for _, m := range e.known {
		byDatabase[m.Database] = append(byDatabase[m.Database], m)
	}
	n.ownerships.setMembers(byDatabase)
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
