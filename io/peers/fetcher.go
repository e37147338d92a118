package peers

import (
	"context"
	"sync"
	"time"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
	"turmericpulley/io/wire"
)

const (
	// fetchTimeout bounds one request for documents.
	fetchTimeout = time.Second
	// maxFetchRounds bounds the requests that follow one order.
	maxFetchRounds = 64
)

// fetchRequest names a peer that holds newer documents.
type fetchRequest struct {
	address string
	status  relay.PeerStatus
}

// fetcher asks peers for what this instance lacks.
type fetcher struct {
	node       *node
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newFetcher(n *node) *fetcher {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fetcher{node: n, cancel: cancel}
	f.goroutines.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case order := <-n.fetchQueue:
				f.catchUp(ctx, order)
			}
		}
	})
	return f
}

func (f *fetcher) close() {
	f.cancel()
	f.goroutines.Wait()
}

// catchUp asks until this instance holds what the peer held when the order was given.
func (f *fetcher) catchUp(ctx context.Context, order fetchRequest) {
	for range maxFetchRounds {
		if ctx.Err() != nil || !f.node.isBehind(order.status) {
			return
		}
		if !f.node.fetch(ctx, order.address) {
			return
		}
	}
}

// fetch asks a peer once for everything newer than what is held here and reports whether anything came.
func (n *node) fetch(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	n.counters.Fetches.Add(1)
	held := n.documents.cache.Revisions()
	reply, err := n.call(ctx, address, &wire.Request{Kind: &wire.Request_Fetch{Fetch: &wire.Fetch{
		MembershipRevision: uint64(n.membership.current().Revision),
		ContractRevision:   uint64(held.Contracts),
		GroupRevision:      uint64(held.Groups),
	}}})
	if err != nil || reply.GetDocuments() == nil {
		return false
	}
	n.applyDocuments(reply.GetDocuments())
	return true
}

// applyDocuments installs the membership and the documents of a message and reports whether any was new.
func (n *node) applyDocuments(documents *wire.Documents) bool {
	changed := false
	if len(documents.GetMembership()) > 0 {
		members, err := fleet.DecodeMembership(documents.GetMembership(), types.Revision(documents.GetMembershipRevision()))
		if err != nil {
			n.counters.ProtocolViolations.Add(1)
			return false
		}
		changed = n.installMembership(members)
	}
	return n.mergeDocuments(decodeBatch(documents)) || changed
}

// missingDocuments returns what a peer lacks.
func (n *node) missingDocuments(fetch *wire.Fetch) *wire.Documents {
	documents := encodeBatch(n.documents.cache.Since(relay.Revisions{
		Contracts: types.Revision(fetch.GetContractRevision()),
		Groups:    types.Revision(fetch.GetGroupRevision()),
	}))
	if members := n.membership.current(); members.Revision > types.Revision(fetch.GetMembershipRevision()) {
		addMembership(documents, members)
	}
	return documents
}

func addMembership(documents *wire.Documents, members fleet.Membership) {
	if value, err := members.Encode(); err == nil {
		documents.Membership, documents.MembershipRevision = value, uint64(members.Revision)
	}
}
