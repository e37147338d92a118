package check

import (
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

const (
	delayToxicName     = "delay"
	blackholeToxicName = "silence"
	cutToxicName       = "timeout"
	resetToxicName     = "reset_peer"
	// delayBufferChunks is how many chunks a delayed direction holds.
	delayBufferChunks = 1024
)

// delayToxic passes data on after a fixed delay, which may be below a millisecond.
type delayToxic struct {
	Delay time.Duration `json:"delay"`
}

// GetBufferSize returns how many chunks may be under way.
func (*delayToxic) GetBufferSize() int { return delayBufferChunks }

// Pipe passes chunks on when their time has come.
func (d *delayToxic) Pipe(stub *toxics.ToxicStub) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			if !d.deliver(stub, chunk) {
				return
			}
		}
	}
}

// deliver passes on one chunk and reports whether the toxic goes on.
func (d *delayToxic) deliver(stub *toxics.ToxicStub, chunk *stream.StreamChunk) bool {
	select {
	case <-time.After(d.Delay - time.Since(chunk.Timestamp)):
		stub.Output <- chunk
		return true
	case <-stub.Interrupt:
		stub.Output <- chunk
		return false
	}
}

// blackholeToxic drops the data of the connections that were open when it was added; later connections pass.
type blackholeToxic struct {
	installed atomic.Bool
}

// NewState records whether a connection was open when the toxic was added.
func (s *blackholeToxic) NewState() any { return !s.installed.Load() }

// Pipe drops data or passes it on.
func (s *blackholeToxic) Pipe(stub *toxics.ToxicStub) {
	if silent, known := stub.State.(bool); known && silent {
		new(toxics.TimeoutToxic).Pipe(stub)
		return
	}
	new(toxics.NoopToxic).Pipe(stub)
}
