package relay

import (
	"slices"
	"sync"
	"sync/atomic"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
)

// Cache holds the newest version of every document; readers never wait for writers. It is safe for concurrent use.
type Cache struct {
	// documents maps the keys of the store to *document.
	documents sync.Map
	// databases maps database ids to *location; databaseIDs holds the same ids, sorted.
	databases   sync.Map
	databaseIDs atomic.Pointer[[]types.DatabaseID]
	// revisions holds the revisions up to which all documents are known.
	revisions    atomic.Pointer[Revisions]
	invalidCount atomic.Uint64
	// writeMu serialises writers.
	writeMu sync.Mutex
}

// location is a database and the group that defines it.
type location struct {
	group    *policy.Group
	database policy.Database
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{}
	c.revisions.Store(&Revisions{})
	c.databaseIDs.Store(&[]types.DatabaseID{})
	return c
}

// Contract returns the contract in force for the customer and its revision; false when there is none.
func (c *Cache) Contract(customer types.AccountID) (policy.Contract, types.Revision, bool) {
	cached, found := c.document(ContractPrefix + string(customer))
	if !found || cached.contract == nil {
		return policy.Contract{}, 0, false
	}
	return *cached.contract, cached.inForce, true
}

// Database returns the database and the group that defines it; false when no group does.
func (c *Cache) Database(id types.DatabaseID) (policy.Group, policy.Database, bool) {
	value, found := c.databases.Load(id)
	if !found {
		return policy.Group{}, policy.Database{}, false
	}
	l := value.(*location)
	return *l.group, l.database, true
}

// Databases returns the sorted ids of all databases; callers must not change the slice.
func (c *Cache) Databases() []types.DatabaseID { return *c.databaseIDs.Load() }

// Revision returns the higher of the revisions of contracts and of groups that Revisions returns.
func (c *Cache) Revision() types.Revision { return c.Revisions().Highest() }

// Revisions returns the revisions up to which all contracts and all groups are known.
func (c *Cache) Revisions() Revisions { return *c.revisions.Load() }

// InvalidCount returns the number of versions that were not put in force because they could not be decoded.
func (c *Cache) InvalidCount() uint64 { return c.invalidCount.Load() }

// InForce reports whether the given revision of the key, or a later one, is in force on this instance.
func (c *Cache) InForce(key string, revision types.Revision) bool {
	cached, found := c.document(key)
	return found && cached.inForce >= revision
}

// Apply stores the entries that are newer than the cached versions, and reports whether there were any.
func (c *Cache) Apply(entries []Entry) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	changed, groups := false, false
	for _, e := range entries {
		if c.applyEntry(e) {
			changed = true
			groups = groups || kindOf(e.Key) == groupKind
		}
	}
	if groups {
		c.rebuildIndex()
	}
	return changed
}

// Merge applies a batch. It returns false for complete when documents from before the batch are missing and have to be
// fetched. Revisions does not advance past such a gap.
func (c *Cache) Merge(batch Batch) (changed, complete bool) {
	changed = c.Apply(batch.Entries)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	known := *c.revisions.Load()
	complete = known.Covers(batch.Base)
	if known.Contracts >= batch.Base.Contracts {
		known.Contracts = max(known.Contracts, batch.Through.Contracts)
	}
	if known.Groups >= batch.Base.Groups {
		known.Groups = max(known.Groups, batch.Through.Groups)
	}
	c.revisions.Store(&known)
	return changed, complete
}

func (c *Cache) document(key string) (*document, bool) {
	value, found := c.documents.Load(key)
	if !found {
		return nil, false
	}
	return value.(*document), true
}

// applyEntry stores the entry if it is newer than the cached version, and reports whether it is.
func (c *Cache) applyEntry(entry Entry) bool {
	cached, found := c.document(entry.Key)
	if !found {
		cached = &document{}
	}
	if found && cached.entry.Revision >= entry.Revision {
		return false
	}
	updated, err := cached.withEntry(entry)
	if err != nil {
		c.invalidCount.Add(1)
	}
	c.documents.Store(entry.Key, &updated)
	return true
}

// rebuildIndex rebuilds the map of databases from all groups. When two groups list the same database, it belongs to the group
// whose name sorts first.
func (c *Cache) rebuildIndex() {
	locations := make(map[types.DatabaseID]*location)
	c.documents.Range(func(_, value any) bool {
		if group := value.(*document).group; group != nil {
			addGroup(locations, group)
		}
		return true
	})
	ids := make([]types.DatabaseID, 0, len(locations))
	for id, l := range locations {
		ids = append(ids, id)
		c.databases.Store(id, l)
	}
	c.databases.Range(func(id, _ any) bool {
		if locations[id.(types.DatabaseID)] == nil {
			c.databases.Delete(id)
		}
		return true
	})
	slices.Sort(ids)
	c.databaseIDs.Store(&ids)
}

func addGroup(locations map[types.DatabaseID]*location, group *policy.Group) {
	for _, d := range group.Databases {
		if other := locations[d.Database]; other == nil || group.Group < other.group.Group {
			locations[d.Database] = &location{group: group, database: d}
		}
	}
}
