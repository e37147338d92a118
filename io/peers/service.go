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

// Service is one instance's part in the fleet.
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

// New starts the service: it listens, joins the membership and follows the documents until Close.
func New(settings Settings) (*Service, error) {
	settings, err := settings.complete()
	if err != nil {
		return nil, err
	}
	accepting, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listening for other instances")
	}
	s := &Service{node: newNode(settings.withListenAddress(accepting.Addr().String()))}
	s.changes = s.node.changes.subscribe()
	s.broadcaster = newBroadcaster(s.node)
	s.proposer = newProposer(s.node, s.broadcaster.broadcastMembership)
	s.server = newServer(s.node, s.proposer, s.broadcaster)
	s.listener = newListener(accepting, s.node.counters, s.node.sessionMonitor, s.server.serve)
	s.fetcher = newFetcher(s.node)
	s.prefixWatches = []*prefixWatch{
		watchContracts(s.node, s.broadcaster), watchGroups(s.node, s.broadcaster), watchMembership(s.node),
	}
	s.joiner = newJoiner(s.node, s.proposer)
	return s, nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.listener.netListener.Addr().String() }

// Self returns the description of this instance, whose incarnation grows when it has to join again.
func (s *Service) Self() fleet.Instance { return s.node.membership.localInstance() }

// Membership returns the newest membership that the instance knows.
func (s *Service) Membership() fleet.Membership { return s.node.membership.current() }

// Suspected reports whether the instance is watched from here and does not answer.
func (s *Service) Suspected(id types.InstanceID) bool { return s.proposer.detector.suspected(id) }

// Probe reports whether the instance answers over a fresh connection.
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

// Documents returns the contracts and groups.
func (s *Service) Documents() *relay.Cache { return s.node.documents.cache }

// CheckFreshness returns nil when the documents may govern new work now, else a fault of the kind fault.Isolated.
func (s *Service) CheckFreshness() error {
	return s.node.documents.checkFreshness(s.node.membership.localInstance().ID, s.node.membership.current())
}

// Changes returns a channel that is signalled on any change of membership, documents or suspicion; it has one reader.
func (s *Service) Changes() <-chan struct{} { return s.changes }

// Subscribe returns a further channel like that of Changes.
func (s *Service) Subscribe() <-chan struct{} { return s.node.changes.subscribe() }

// Counters returns what the service counts.
func (s *Service) Counters() *Counters { return s.node.counters }

// HandleTransactions sets what serves the transactions that other instances forward.
func (s *Service) HandleTransactions(handler Handler) { s.server.handler.Store(&handler) }

// Leave marks the instance as leaving so that it gets no new work; Close then removes it.
func (s *Service) Leave(ctx context.Context) error { return s.joiner.leave(ctx, false) }

// Close ends all duties and joins their goroutines.
func (s *Service) Close() {
	s.closeOnce.Do(func() {
		if s.node.membership.localInstance().State == fleet.Leaving {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			_ = s.joiner.leave(ctx, true)
			cancel()
		}
		s.joiner.close()
		for _, d := range s.prefixWatches {
			d.close()
		}
		s.fetcher.close()
		s.server.cancel()
		s.listener.close()
		s.proposer.close()
		s.broadcaster.close()
		s.node.close()
	})
}
