package node

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/clock"
	"turmericpulley/core/pause"
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
}

func newMemberEntries(n *Node) *memberEntries {
	return &memberEntries{
		node: n, refreshes: make(chan struct{}, 1),
		known: map[types.TargetID]routes.Member{}, missingSince: map[types.TargetID]clock.Moment{},
	}
}

// seed adds members that another instance sent. Entries that expired while the store was unavailable reappear only some time
// after it is available again; until then these members count as missing, not as unknown.
func (e *memberEntries) seed(members []routes.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range members {
		if _, known := e.known[m.Target]; !known {
			e.known[m.Target] = m
		}
	}
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
	items, _, err := n.store.Range(ctx, n.settings.Formats.MembersPrefix)
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
			e.known[m.Target] = m
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
		}
	}
	byDatabase := map[types.DatabaseID][]routes.Member{}
	for _, m := range e.known {
		byDatabase[m.Database] = append(byDatabase[m.Database], m)
	}
	n.ownerships.setMembers(byDatabase)
}
