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
	// maxFetchRounds bounds the calls made for one queued request.
	maxFetchRounds = 64
)

// fetchRequest is a queued request to fetch documents from a peer that holds newer ones.
type fetchRequest struct {
	address string
	status  relay.PeerStatus
}

// fetcher fetches the documents and the membership that this instance does not have yet from its peers.
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
			case request := <-n.fetchQueue:
				f.catchUp(ctx, request)
			}
		}
	})
	return f
}

func (f *fetcher) close() {
	f.cancel()
	f.goroutines.Wait()
}

// catchUp fetches until this instance holds what the peer held when the request was queued.
func (f *fetcher) catchUp(ctx context.Context, request fetchRequest) {
	for range maxFetchRounds {
		if ctx.Err() != nil || !f.node.isBehind(request.status) {
			return
		}
		if !f.node.fetch(ctx, request.address) {
			return
		}
	}
}

// fetch asks a peer once for everything newer than what this instance holds, and reports whether the peer replied with
// documents.
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

// applyDocuments installs the membership and the documents of a message and reports whether any of them was new.
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

// missingDocuments returns the documents and the membership that are newer than the revisions in the request of a peer.
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
