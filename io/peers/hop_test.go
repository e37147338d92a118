package peers_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy forwards connections to an address and can lose them in several ways; no library loses only the open ones.
type proxy struct {
	netListener net.Listener
	to          string
	goroutines  sync.WaitGroup

	mu       sync.Mutex
	conns    map[net.Conn]*proxiedConn
	refusing bool
	closed   bool
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	mu       sync.Mutex
	dropping bool
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &proxy{netListener: accepting, to: to, conns: map[net.Conn]*proxiedConn{}}
	h.goroutines.Go(func() {
		for {
			in, err := accepting.Accept()
			if err != nil {
				return
			}
			h.forward(in)
		}
	})
	return h
}

func (h *proxy) address() string { return h.netListener.Addr().String() }

// setRefusing refuses connections and ends the open ones, or lets them pass again.
func (h *proxy) setRefusing(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusing = cut
	for conn := range h.conns {
		_ = conn.Close()
	}
}

// dropTraffic loses everything that is sent on the connections open now and leaves them open.
func (h *proxy) dropTraffic() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.conns {
		p.mu.Lock()
		p.dropping = true
		p.mu.Unlock()
	}
}

func (h *proxy) close() {
	_ = h.netListener.Close()
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.setRefusing(true)
	h.goroutines.Wait()
}

func (h *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", h.to)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.refusing || h.closed {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	p := &proxiedConn{}
	h.conns[in], h.conns[out] = p, p
	h.goroutines.Go(func() { h.copy(p, out, in) })
	h.goroutines.Go(func() { h.copy(p, in, out) })
}

func (h *proxy) copy(p *proxiedConn, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.mu.Lock()
		silent := p.dropping
		p.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			break
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range []io.Closer{to, from} {
		_ = conn.Close()
	}
	delete(h.conns, to)
	delete(h.conns, from)
}
