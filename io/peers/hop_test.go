package peers_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// hop forwards connections to an address and can lose them in several ways; no library loses only the open ones.
type hop struct {
	accepting net.Listener
	to        string
	running   sync.WaitGroup

	mu      sync.Mutex
	passing map[net.Conn]*passage
	refuse  bool
	closed  bool
}

// passage is one forwarded connection.
type passage struct {
	mu     sync.Mutex
	silent bool
}

func newHop(t *testing.T, to string) *hop {
	t.Helper()
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &hop{accepting: accepting, to: to, passing: map[net.Conn]*passage{}}
	h.running.Go(func() {
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

func (h *hop) address() string { return h.accepting.Addr().String() }

// cut refuses connections and ends the open ones, or lets them pass again.
func (h *hop) cut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refuse = cut
	for conn := range h.passing {
		_ = conn.Close()
	}
}

// silence loses everything that is sent on the connections open now and leaves them open.
func (h *hop) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.passing {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

func (h *hop) close() {
	_ = h.accepting.Close()
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.cut(true)
	h.running.Wait()
}

func (h *hop) forward(in net.Conn) {
	out, err := net.Dial("tcp", h.to)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.refuse || h.closed {
		_ = in.Close()
		if err == nil {
			_ = out.Close()
		}
		return
	}
	p := &passage{}
	h.passing[in], h.passing[out] = p, p
	h.running.Go(func() { h.copy(p, out, in) })
	h.running.Go(func() { h.copy(p, in, out) })
}

func (h *hop) copy(p *passage, to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.mu.Lock()
		silent := p.silent
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
	delete(h.passing, to)
	delete(h.passing, from)
}
