package fakekv

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout is the time within which a caller has to send the header of a request.
const headerTimeout = 10 * time.Second

// Platform is a running stand-in for the platform.
type Platform struct {
	listener   net.Listener
	server     *http.Server
	store      *store
	targets    targetHistory
	reads      atomic.Int64
	writes     atomic.Int64
	longPolls  atomic.Int64
	goroutines sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	closing chan struct{}
}

// Start listens on the address in the settings and serves requests until Close.
func Start(settings Settings) (*Platform, error) {
	listener, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", settings.Address)
	}
	p := &Platform{listener: listener, store: newStore(settings.Seed), closing: make(chan struct{})}
	p.targets.set(settings.Targets, time.Now())
	p.server = &http.Server{Handler: p.handler(), ReadHeaderTimeout: headerTimeout}
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		_ = p.server.Serve(listener)
	}()
	return p, nil
}

// URL returns the base address of the HTTP interface.
func (p *Platform) URL() string { return "http://" + p.listener.Addr().String() }

// Close stops the platform immediately. Requests in flight get no response.
func (p *Platform) Close() error {
	p.mu.Lock()
	select {
	case <-p.closing:
	default:
		close(p.closing)
	}
	p.mu.Unlock()
	err := p.server.Close()
	p.goroutines.Wait()
	p.store.close()
	return errors.Wrap(err, "closing the platform")
}

// SetFaults replaces the injected faults. Watches that wait end if the platform is now down.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.wake()
}

// Faults returns the faults in force. LoseResponses holds the number of responses still to be lost.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetTargets replaces the target list. Callers see the new list after Faults.ListLagMs.
func (p *Platform) SetTargets(targets []Target) {
	p.targets.set(targets, time.Now())
}

// Calls returns the numbers of calls received since the start.
func (p *Platform) Calls() Calls {
	return Calls{Reads: p.reads.Load(), Writes: p.writes.Load(), LongPolls: p.longPolls.Load()}
}

// takeLostResponse reports whether the response to the current write is to be lost, and counts it as lost.
func (p *Platform) takeLostResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseResponses <= 0 {
		return false
	}
	p.faults.LoseResponses--
	return true
}
