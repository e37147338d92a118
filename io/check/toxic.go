package check

import (
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

const (
	delayToxicName     = "delay"
	blackholeToxicName = "blackhole"
	cutToxicName       = "timeout"
	resetToxicName     = "reset_peer"
	// delayBufferChunks is the number of chunks that a delayed direction buffers.
	delayBufferChunks = 1024
)

// delayToxic forwards data after a fixed delay, which may be below a millisecond.
type delayToxic struct {
	Delay time.Duration `json:"delay"`
}

// GetBufferSize returns the number of chunks that may be delayed at once.
func (*delayToxic) GetBufferSize() int { return delayBufferChunks }

// Pipe forwards each chunk when its delay has passed.
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

// deliver forwards one chunk after its delay. When the toxic is interrupted, it forwards the chunk at once and returns false.
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

// blackholeToxic drops the data of connections that were open when it was added. It does not affect later connections.
type blackholeToxic struct {
	// installed is set after the toxic was added to the open connections.
	installed atomic.Bool
}

// NewState returns true, the mark to drop data, for a connection that was open when the toxic was added.
func (b *blackholeToxic) NewState() any { return !b.installed.Load() }

// Pipe drops the data of marked connections and forwards that of the others.
func (b *blackholeToxic) Pipe(stub *toxics.ToxicStub) {
	if drop, isSet := stub.State.(bool); isSet && drop {
		new(toxics.TimeoutToxic).Pipe(stub)
		return
	}
	new(toxics.NoopToxic).Pipe(stub)
}
