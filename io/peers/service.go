package peers

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// Service connects one instance to the other instances of its region. It is safe for concurrent use.
type Service struct {
	node          *node
	listener      *listener
	server        *server
	broadcaster   *broadcaster
	fetcher       *fetcher
	proposer      *proposer
	joiner        *joiner
	prefixWatches []*prefixWatch
	changes       <-chan struct{}
	closeOnce     sync.Once
}

// New starts a service. Until Close it listens for other instances, keeps this one in the membership and keeps the
// documents up to date.
func New(settings Settings) (*Service, error) {
	settings, err := settings.complete()
	if err != nil {
		return nil, err
	}
	netListener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listening for other instances")
	}
	s := &Service{node: newNode(settings.withListenAddress(netListener.Addr().String()))}
	s.changes = s.node.changes.subscribe()
	s.broadcaster = newBroadcaster(s.node)
	s.proposer = newProposer(s.node, s.broadcaster.broadcastMembership)
	s.server = newServer(s.node, s.proposer, s.broadcaster)
	s.listener = newListener(netListener, s.node.counters, s.node.sessionMonitor, s.server.serve)
	s.fetcher = newFetcher(s.node)
	s.prefixWatches = []*prefixWatch{
		watchContracts(s.node, s.broadcaster), watchGroups(s.node, s.broadcaster), watchMembership(s.node),
	}
	s.joiner = newJoiner(s.node, s.proposer)
	return s, nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.listener.netListener.Addr().String() }

// Self returns the description of this instance. Its incarnation increases each time the instance has to rejoin.
func (s *Service) Self() fleet.Instance { return s.node.membership.localInstance() }

// Membership returns the newest membership that this instance knows.
func (s *Service) Membership() fleet.Membership { return s.node.membership.current() }

// Suspected reports whether this instance sends heartbeats to the given one and gets no response.
func (s *Service) Suspected(id types.InstanceID) bool { return s.proposer.detector.suspected(id) }

// Probe reports whether the instance responds to a heartbeat over a new connection.
func (s *Service) Probe(ctx context.Context, id types.InstanceID) bool {
	peer, found := s.node.membership.current().Find(id)
	if !found {
		return false
	}
	session, err := s.node.probe(ctx, peer)
	if err != nil {
		return false
	}
	closeQuietly(session)
	return true
}

// Documents returns the cache of contracts and groups.
func (s *Service) Documents() *relay.Cache { return s.node.documents.cache }

// CheckFreshness returns nil when the cached documents are recent enough to be used for new work, and otherwise a fault
// of kind fault.Isolated.
func (s *Service) CheckFreshness() error {
	return s.node.documents.checkFreshness(s.node.membership.localInstance().ID, s.node.membership.current())
}

// Changes returns a channel that receives a signal on any change of the membership, the documents or the suspected
// instances. It supports a single reader.
func (s *Service) Changes() <-chan struct{} { return s.changes }

// Subscribe returns a new channel that receives the same signals as the one of Changes.
func (s *Service) Subscribe() <-chan struct{} { return s.node.changes.subscribe() }

// Counters returns the counters of the service.
func (s *Service) Counters() *Counters { return s.node.counters }

// HandleTransactions sets the handler of transactions that other instances forward to this one.
func (s *Service) HandleTransactions(handler Handler) { s.server.handler.Store(&handler) }

// Leave marks this instance as leaving in the membership, so that it gets no new work. Close then removes it.
func (s *Service) Leave(ctx context.Context) error { return s.joiner.leave(ctx, false) }

// Close stops the service and waits for its goroutines. After Leave, it first removes the instance from the membership.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		if s.node.membership.localInstance().State == fleet.Leaving {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			_ = s.joiner.leave(ctx, true)
			cancel()
		}
		s.joiner.close()
		for _, w := range s.prefixWatches {
			w.close()
		}
		s.fetcher.close()
		s.server.cancel()
		s.listener.close()
		s.proposer.close()
		s.broadcaster.close()
		s.node.close()
	})
}
