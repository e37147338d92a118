package peers

import (
	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// watchContracts watches the contracts in the store and broadcasts changes.
func watchContracts(n *node, b *broadcaster) *prefixWatch {
	held := func() types.Revision { return n.documents.cache.Revisions().Contracts }
	return newPrefixWatch(n, relay.ContractPrefix, documentListWait, held, func(page relay.Page) {
		n.applyAndBroadcast(b, page, relay.Revisions{Contracts: held()}, relay.Revisions{Contracts: newestRevision(page, held())})
	})
}

// watchGroups watches the groups in the store and broadcasts changes.
func watchGroups(n *node, b *broadcaster) *prefixWatch {
	held := func() types.Revision { return n.documents.cache.Revisions().Groups }
	return newPrefixWatch(n, relay.GroupPrefix, documentListWait, held, func(page relay.Page) {
		n.applyAndBroadcast(b, page, relay.Revisions{Groups: held()}, relay.Revisions{Groups: newestRevision(page, held())})
	})
}

// watchMembership watches the membership of the region in the store.
func watchMembership(n *node) *prefixWatch {
	held := func() types.Revision { return n.membership.current().Revision }
	return newPrefixWatch(n, n.membershipKey(), membershipListWait, held, func(page relay.Page) {
		for _, e := range page.Entries {
			if e.Key != n.membershipKey() || e.Deleted {
				continue
			}
			if members, err := fleet.DecodeMembership(e.Value, e.Revision); err == nil {
				n.installMembership(members)
			}
		}
	})
}

// applyAndBroadcast applies a page of documents and broadcasts it when it holds anything new.
func (n *node) applyAndBroadcast(b *broadcaster, page relay.Page, base, through relay.Revisions) {
	batch := relay.Batch{Base: base, Through: through, Entries: page.Entries}
	if n.mergeDocuments(batch) {
		b.broadcastBatch(batch)
	}
}

// newestRevision returns the highest revision in the page, or the revision held when that is higher.
func newestRevision(page relay.Page, held types.Revision) types.Revision {
	for _, e := range page.Entries {
		held = max(held, e.Revision)
	}
	return held
}
