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

// fetchOrder names a peer that holds newer documents.
type fetchOrder struct {
	address  string
	standing relay.PeerStatus
}

// fetcher asks peers for what this instance lacks.
type fetcher struct {
	node    *node
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func newFetcher(n *node) *fetcher {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fetcher{node: n, cancel: cancel}
	f.running.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case order := <-n.fetches:
				f.fill(ctx, order)
			}
		}
	})
	return f
}

func (f *fetcher) close() {
	f.cancel()
	f.running.Wait()
}

// fill asks until this instance holds what the peer held when the order was given.
func (f *fetcher) fill(ctx context.Context, order fetchOrder) {
	for range maxFetchRounds {
		if ctx.Err() != nil || !f.node.behind(order.standing) {
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
	held := n.records.book.Revisions()
	reply, err := n.call(ctx, address, &wire.Request{Kind: &wire.Request_Fetch{Fetch: &wire.Fetch{
		MembershipRevision: uint64(n.roster.current().Revision),
		ContractRevision:   uint64(held.Contracts),
		GroupRevision:      uint64(held.Groups),
	}}})
	if err != nil || reply.GetDocuments() == nil {
		return false
	}
	n.take(reply.GetDocuments())
	return true
}

// take installs the membership and the documents of a message and reports whether any was new.
func (n *node) take(documents *wire.Documents) bool {
	changed := false
	if len(documents.GetMembership()) > 0 {
		members, err := fleet.DecodeMembership(documents.GetMembership(), types.Revision(documents.GetMembershipRevision()))
		if err != nil {
			n.counters.ProtocolViolations.Add(1)
			return false
		}
		changed = n.install(members)
	}
	return n.merge(decodeBatch(documents)) || changed
}

// offer returns what a peer lacks.
func (n *node) offer(fetch *wire.Fetch) *wire.Documents {
	documents := encodeBatch(n.records.book.Since(relay.Revisions{
		Contracts: types.Revision(fetch.GetContractRevision()),
		Groups:    types.Revision(fetch.GetGroupRevision()),
	}))
	if members := n.roster.current(); members.Revision > types.Revision(fetch.GetMembershipRevision()) {
		addMembership(documents, members)
	}
	return documents
}

func addMembership(documents *wire.Documents, members fleet.Membership) {
	if value, err := members.Encode(); err == nil {
		documents.Membership, documents.MembershipRevision = value, uint64(members.Revision)
	}
}
