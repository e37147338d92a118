package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/cover"
	"turmericpulley/core/fleet"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

// newMembersReader returns the reader of the entries of all members.
func newMembersReader(n *Node) *sharedReader {
	return &sharedReader{node: n, prefix: n.settings.Formats.MembersPrefix, rests: true, databaseOf: func(item Item) (types.DatabaseID, bool) {
		m, usable := n.settings.Formats.ParseMember(item)
		return m.Database, usable
	}}
}

// maxAskedReaders is how many store readers of the own data centre, and then of others, are asked for the members' entries one after the other.
const maxAskedReaders = 2

// recent returns a read of the entries of the databases: one of a store reader that is at most as old as maxAge, or else this instance's own. It
// takes its turn for that when a reader answers that the store does not serve it.
func (e *memberEntries) recent(ctx context.Context, databases []types.DatabaseID, maxAge time.Duration) (storeReading, error) {
	answered := false
	for _, reader := range e.readersToAsk() {
		reading, err := e.askReader(ctx, reader, databases, maxAge)
		if err == nil {
			e.recordRecent()
			return reading, nil
		}
		answered = answered || errors.Is(err, errNoReading)
		e.node.logger.Debug("store reader gave no member entries", "reader", reader.ID, "error", err)
	}
	if answered && !e.isTurn() {
		if e.lastRead() == 0 {
			// The first turn comes soon, and an owner that has just started knows no members.
			e.refresh()
		}
		return storeReading{}, errNoReading
	}
	return e.reader.recent(ctx, minEntriesInterval)
}

// readersToAsk returns the store readers that this instance asks for entries, in order; none when it is one itself. Those that have lately
// answered come first, as an instance that has just started has heard of none yet. Those of other data centres come last, other ones for each
// instance: the store may refuse a whole data centre.
func (e *memberEntries) readersToAsk() []fleet.Instance {
	n := e.node
	followed, elsewhere := n.followedReaders(), n.directory.readersElsewhere()
	if len(followed) == 0 {
		return nil
	}
	asked := n.storeSync.servedReaders()
	for _, reader := range followed {
		if !slices.ContainsFunc(asked, func(i fleet.Instance) bool { return i.ID == reader.ID }) {
			asked = append(asked, reader)
		}
	}
	asked = asked[:min(len(asked), maxAskedReaders)]
	position, _ := n.directory.localPosition()
	for i := range min(len(elsewhere), maxAskedReaders) {
		asked = append(asked, elsewhere[(position+i)%len(elsewhere)])
	}
	return asked
}

// isTurn reports whether this instance may read the entries of all members itself. Followers whose readers the store does not serve take turns:
// reads of all of them at once would keep it from serving the readers. The first turn comes within a second of the start.
func (e *memberEntries) isTurn() bool {
	n := e.node
	position, followers := n.directory.localPosition()
	now := n.settings.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastRecent == 0 {
		e.lastRecent = now
	}
	if now.Sub(e.lastRecent) < cover.OwnReadDelay(position, followers, e.turns) {
		return false
	}
	e.lastRecent = now
	e.turns++
	return true
}

// recordRecent records that a store reader has given entries.
func (e *memberEntries) recordRecent() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRecent, e.turns = e.node.settings.Clock.Now(), 1
}

// servedReaders returns the store readers that have lately answered this follower from a fresh copy, the latest first.
func (s *storeSync) servedReaders() []fleet.Instance {
	readers := s.node.followedReaders()
	var served []fleet.Instance
	for _, address := range s.served.addresses(s.node.settings.Clock.Now()) {
		if i := slices.IndexFunc(readers, func(r fleet.Instance) bool { return r.PeerAddress == address }); i >= 0 {
			served = append(served, readers[i])
		}
	}
	return served
}

// errNoReading is the error of a store reader that the store does not serve, or that has read an earlier era of it.
var errNoReading = errors.New("the store reader has no read of the members' entries")

// askReader gets the entries of the databases from a store reader.
func (e *memberEntries) askReader(
	ctx context.Context, reader fleet.Instance, databases []types.DatabaseID, maxAge time.Duration,
) (storeReading, error) {
	n := e.node
	query := &wire.MembersQuery{MaxAgeMs: uint32(maxAge.Milliseconds())}
	for _, database := range databases {
		query.Databases = append(query.Databases, string(database))
	}
	sent := n.settings.Clock.Now()
	reply, err := n.call(ctx, reader.PeerAddress, &wire.Call{Kind: &wire.Call_MembersQuery{MembersQuery: query}})
	if err != nil {
		return storeReading{}, err
	}
	answer := reply.GetMembersReading()
	reading := storeReading{
		sent:       cover.HandedOn(sent, milliseconds(answer.GetHeldMs()), milliseconds(answer.GetAgeMs())),
		revision:   types.Revision(answer.GetStoreRevision()),
		byDatabase: map[types.DatabaseID][]Item{},
	}
	if reading.revision == 0 || reading.revision.Era() < n.store.Era() {
		return storeReading{}, errNoReading
	}
	n.timeline.Record(reading.revision, reading.sent)
	for _, item := range decodeItems(answer.GetItems()) {
		if database, usable := e.reader.databaseOf(item); usable {
			reading.byDatabase[database] = append(reading.byDatabase[database], item)
		}
	}
	return reading, nil
}

// serveMembers answers the query of a follower that owns databases.
func (e *memberEntries) serveMembers(query *wire.MembersQuery) *wire.MembersReading {
	received := e.node.settings.Clock.Now()
	reading, found := e.reader.forFollower(milliseconds(query.GetMaxAgeMs()))
	if !found {
		return &wire.MembersReading{}
	}
	answer := &wire.MembersReading{StoreRevision: uint64(reading.revision)}
	for _, database := range query.GetDatabases() {
		answer.Items = append(answer.Items, encodeItems(reading.byDatabase[types.DatabaseID(database)])...)
	}
	// Both are taken at one moment, as in serveFollow.
	answered := e.node.settings.Clock.Now()
	answer.HeldMs = uint32(answered.Sub(received).Milliseconds())
	answer.AgeMs = ageMilliseconds(answered.Sub(reading.sent))
	return answer
}
