package peers_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy forwards connections to an address. It can refuse and close them, or drop the data of those that are open. No
// library drops that data without affecting new connections.
type proxy struct {
	netListener net.Listener
	to          string
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]*proxiedConn
	refusing bool
	closed   bool
}

// proxiedConn is the state of one forwarded connection.
type proxiedConn struct {
	mu       sync.Mutex
	dropping bool
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{netListener: listener, to: to, conns: map[net.Conn]*proxiedConn{}}
	p.goroutines.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			p.forward(in)
		}
	})
	return p
}

func (p *proxy) address() string { return p.netListener.Addr().String() }

// setRefusing closes the open connections and sets whether new ones are refused.
func (p *proxy) setRefusing(refuse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refuse
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// inUse reports whether a connection is open.
func (p *proxy) inUse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// dropTraffic drops all data sent on the connections that are open now, and leaves them open.
func (p *proxy) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, state := range p.conns {
		state.mu.Lock()
		state.dropping = true
		state.mu.Unlock()
	}
}

func (p *proxy) close() {
	_ = p.netListener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.setRefusing(true)
	p.goroutines.Wait()
}

func (p *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || p.refusing || p.closed {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	state := &proxiedConn{}
	p.conns[in], p.conns[out] = state, state
	p.goroutines.Go(func() { p.copy(state, out, in) })
	p.goroutines.Go(func() { p.copy(state, in, out) })
}

func (p *proxy) copy(state *proxiedConn, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			break
		}
		state.mu.Lock()
		dropping := state.dropping
		state.mu.Unlock()
		if dropping {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			break
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range []io.Closer{to, from} {
		_ = conn.Close()
	}
	delete(p.conns, to)
	delete(p.conns, from)
}
