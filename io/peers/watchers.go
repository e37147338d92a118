package peers

import (
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// watchContracts follows the contracts and passes changes on.
func watchContracts(n *node, s *spreader) *docwatch {
	held := func() types.Revision { return n.records.book.Revisions().Contracts }
	return newDocwatch(n, relay.ContractPrefix, documentWait, held, func(page relay.Page) {
		n.spreadPage(s, page, relay.Revisions{Contracts: held()}, relay.Revisions{Contracts: newest(page, held())})
	})
}

// watchGroups follows the groups and passes changes on.
func watchGroups(n *node, s *spreader) *docwatch {
	held := func() types.Revision { return n.records.book.Revisions().Groups }
	return newDocwatch(n, relay.GroupPrefix, documentWait, held, func(page relay.Page) {
		n.spreadPage(s, page, relay.Revisions{Groups: held()}, relay.Revisions{Groups: newest(page, held())})
	})
}

// watchMembership follows the membership of the region.
func watchMembership(n *node) *docwatch {
	held := func() types.Revision { return n.roster.current().Revision }
	return newDocwatch(n, n.membershipKey(), membershipWait, held, func(page relay.Page) {
		for _, e := range page.Entries {
			if e.Key != n.membershipKey() || e.Deleted {
				continue
			}
			if members, err := fleet.DecodeMembership(e.Value, e.Revision); err == nil {
				n.install(members)
			}
		}
	})
}

// spreadPage takes a page of documents and passes it on when it holds anything new.
func (n *node) spreadPage(s *spreader, page relay.Page, base, through relay.Revisions) {
	batch := relay.Batch{Base: base, Through: through, Entries: page.Entries}
	if n.merge(batch) {
		s.spreadBatch(batch)
	}
}

// newest returns the highest revision in the page, or the one held when that is higher.
func newest(page relay.Page, held types.Revision) types.Revision {
	for _, e := range page.Entries {
		held = max(held, e.Revision)
	}
	return held
}
