package relay

import (
	"slices"
	"sync"
	"sync/atomic"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Cache holds the newest version of every document; readers never wait for writers.
type Cache struct {
	// documents maps keys to *document.
	documents sync.Map
	// databases maps ids to *location.
	databases    sync.Map
	databaseIDs  atomic.Pointer[[]types.DatabaseID]
	revisions    atomic.Pointer[Revisions]
	invalidCount atomic.Uint64
	// writeMu serialises writers.
	writeMu sync.Mutex
}

// location is where a database was found.
type location struct {
	group    *policy.Group
	database policy.Database
}

// NewCache returns an empty book.
func NewCache() *Cache {
	b := &Cache{}
	b.revisions.Store(&Revisions{})
	b.databaseIDs.Store(&[]types.DatabaseID{})
	return b
}

// Contract returns the contract that governs the customer and its revision.
func (b *Cache) Contract(customer types.CustomerID) (policy.Contract, types.Revision, bool) {
	held, found := b.document(ContractPrefix + string(customer))
	if !found || held.contract == nil {
		return policy.Contract{}, 0, false
	}
	return *held.contract, held.inForce, true
}

// Database returns the database and the group that holds it.
func (b *Cache) Database(id types.DatabaseID) (policy.Group, policy.Database, bool) {
	held, found := b.databases.Load(id)
	if !found {
		return policy.Group{}, policy.Database{}, false
	}
	at := held.(*location)
	return *at.group, at.database, true
}

// Databases returns the ids of all databases in order; callers must not change the slice.
func (b *Cache) Databases() []types.DatabaseID { return *b.databaseIDs.Load() }

// Revision returns the highest revision up to which all documents of a kind are known.
func (b *Cache) Revision() types.Revision { return b.Revisions().Highest() }

// Revisions returns up to which revisions all documents are known.
func (b *Cache) Revisions() Revisions { return *b.revisions.Load() }

// InvalidCount counts the versions that were refused because they could not be understood.
func (b *Cache) InvalidCount() uint64 { return b.invalidCount.Load() }

// InForce reports whether the revision of the key, or a later one, governs here.
func (b *Cache) InForce(key string, revision types.Revision) bool {
	held, found := b.document(key)
	return found && held.inForce >= revision
}

// Apply takes the newer of the entries and reports whether any was newer than what was held.
func (b *Cache) Apply(entries []Entry) bool {
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	changed, groups := false, false
	for _, e := range entries {
		if b.applyEntry(e) {
			changed = true
			groups = groups || kindOf(e.Key) == groupKind
		}
	}
	if groups {
		b.rebuildIndex()
	}
	return changed
}

// Merge applies a batch; complete is false when documents before the batch are missing and have to be fetched.
func (b *Cache) Merge(batch Batch) (changed, complete bool) {
	changed = b.Apply(batch.Entries)
	b.writeMu.Lock()
	defer b.writeMu.Unlock()
	through := *b.revisions.Load()
	complete = through.Covers(batch.Base)
	if through.Contracts >= batch.Base.Contracts {
		through.Contracts = max(through.Contracts, batch.Through.Contracts)
	}
	if through.Groups >= batch.Base.Groups {
		through.Groups = max(through.Groups, batch.Through.Groups)
	}
	b.revisions.Store(&through)
	return changed, complete
}

func (b *Cache) document(key string) (*document, bool) {
	held, found := b.documents.Load(key)
	if !found {
		return nil, false
	}
	return held.(*document), true
}

func (b *Cache) applyEntry(entry Entry) bool {
	held, found := b.document(entry.Key)
	if !found {
		held = &document{}
	}
	if found && held.entry.Revision >= entry.Revision {
		return false
	}
	next, err := held.withEntry(entry)
	if err != nil {
		b.invalidCount.Add(1)
	}
	b.documents.Store(entry.Key, &next)
	return true
}

// rebuildIndex rebuilds the map of databases from all groups; a database that two groups claim stays with the first by name.
func (b *Cache) rebuildIndex() {
	held := make(map[types.DatabaseID]*location)
	b.documents.Range(func(_, value any) bool {
		if group := value.(*document).group; group != nil {
			addGroup(held, group)
		}
		return true
	})
	names := make([]types.DatabaseID, 0, len(held))
	for id, at := range held {
		names = append(names, id)
		b.databases.Store(id, at)
	}
	b.databases.Range(func(id, _ any) bool {
		if held[id.(types.DatabaseID)] == nil {
			b.databases.Delete(id)
		}
		return true
	})
	slices.Sort(names)
	b.databaseIDs.Store(&names)
}

func addGroup(held map[types.DatabaseID]*location, group *policy.Group) {
	for _, d := range group.Databases {
		if other := held[d.Database]; other == nil || group.Group < other.group.Group {
			held[d.Database] = &location{group: group, database: d}
		}
	}
}
