package check

import (
	"sync/atomic"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

const (
	delayToxicName   = "delay"
	silenceToxicName = "silence"
	cutToxicName     = "timeout"
	resetToxicName   = "reset_peer"
	// delayBuffer is how many chunks a delayed direction holds.
	delayBuffer = 1024
)

// delayToxic passes data on after a fixed delay, which may be below a millisecond.
type delayToxic struct {
	Delay time.Duration `json:"delay"`
}

// GetBufferSize returns how many chunks may be under way.
func (*delayToxic) GetBufferSize() int { return delayBuffer }

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

// silenceToxic drops the data of the connections that were open when it was added; later connections pass.
type silenceToxic struct {
	later atomic.Bool
}

// NewState records whether a connection was open when the toxic was added.
func (s *silenceToxic) NewState() any { return !s.later.Load() }

// Pipe drops data or passes it on.
func (s *silenceToxic) Pipe(stub *toxics.ToxicStub) {
	if silent, known := stub.State.(bool); known && silent {
		new(toxics.TimeoutToxic).Pipe(stub)
		return
	}
	new(toxics.NoopToxic).Pipe(stub)
}
