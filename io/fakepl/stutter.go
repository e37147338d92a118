package fakepl

import (
	"math/rand/v2"
	"time"
)

// Stutter describes a member that answers some statements twice and refuses some. A second answer is written whole, at once or after up
// to MaxDelay, so that answers to later statements of the connection can precede it.
type Stutter struct {
	// ClientShare and ProxyShare are the shares of the clients' statements and of the proxy's own that are answered twice.
	ClientShare, ProxyShare float64
	// BusyShare and FailedShare are the shares of the reads, writes and commits that are refused with BUSY and FAILED.
	BusyShare, FailedShare float64
	// CutShare is the share of the clients' statements whose answer ends in the middle, and the connection with it.
	CutShare float64
	MaxDelay time.Duration
	Seed     uint64
}

// immediateShare is the share of the second answers that are sent at once.
const immediateShare = 0.25

// Stutter makes the member stutter as described; the zero value ends it.
func (m *Member) Stutter(s Stutter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stutter, m.random = s, rand.New(rand.NewPCG(s.Seed, 0))
}

// drawSecondAnswer decides whether the statement is answered twice, and after which delay.
func (m *Member) drawSecondAnswer(id string) (delay time.Duration, twice bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	share := m.stutter.ClientShare
	if id == proxyID {
		share = m.stutter.ProxyShare
	}
	if m.random == nil || m.random.Float64() >= share {
		return 0, false
	}
	m.repeated++
	if m.random.Float64() >= immediateShare {
		delay = time.Duration(m.random.Float64() * float64(m.stutter.MaxDelay))
	}
	return delay, true
}

// drawCut decides whether the answer to the statement ends in the middle, and returns what is sent of it.
func (m *Member) drawCut(id, answer string) (sent string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.random == nil || id == proxyID || m.random.Float64() >= m.stutter.CutShare {
		return answer, false
	}
	return answer[:m.random.IntN(len(answer))], true
}

// drawRefusal returns the code with which a read, write or commit is refused; empty when it is not.
func (m *Member) drawRefusal() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.random == nil {
		return ""
	}
	drawn := m.random.Float64()
	switch {
	case drawn < m.stutter.BusyShare:
		return "BUSY"
	case drawn < m.stutter.BusyShare+m.stutter.FailedShare:
		return "FAILED"
	default:
		return ""
	}
}

// SecondAnswers returns the number of statements that the members have answered twice.
func (g *Group) SecondAnswers() int {
	total := 0
	for _, m := range g.members {
		m.mu.Lock()
		total += m.repeated
		m.mu.Unlock()
	}
	return total
}

// Stutter makes all members stutter as described, each with draws of its own.
func (g *Group) Stutter(s Stutter) {
	for _, m := range g.members {
		m.Stutter(s)
		s.Seed++
	}
}
