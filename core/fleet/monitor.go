package fleet

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to the same instance.
	HeartbeatInterval = 200 * time.Millisecond
	// SilenceLimit is how long an instance may be silent before it is probed over a fresh connection.
	SilenceLimit = 600 * time.Millisecond
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 300 * time.Millisecond
	// suspectInterval is the time between two probes of a suspected instance.
	suspectInterval = 500 * time.Millisecond
)

// Step is what a monitor wants done next: SendHeartbeat or SendProbe.
type Step interface{ step() }

// SendHeartbeat asks for a heartbeat over the standing connection.
type SendHeartbeat struct {
	// At is when to send.
	At time.Time
	// Deadline is when the answer is too late.
	Deadline time.Time
}

// SendProbe asks for a heartbeat over a fresh connection.
type SendProbe struct {
	// At is when to send.
	At time.Time
}

func (SendHeartbeat) step() {}
func (SendProbe) step()     {}

// Monitor decides when one instance counts as suspected; it is not safe for concurrent use.
type Monitor struct {
	heard  time.Time
	sent   time.Time
	missed bool
	// excused is true when the last probe failed for a reason of the prober's own.
	excused   bool
	suspected bool
}

// NewMonitor returns a monitor that counts the instance as heard now and wants a heartbeat at once.
func NewMonitor(now time.Time) *Monitor {
	return &Monitor{heard: now, sent: now.Add(-HeartbeatInterval)}
}

// Next returns what to do next.
func (m *Monitor) Next() Step {
	if m.suspected || m.excused {
		return SendProbe{At: m.sent.Add(suspectInterval)}
	}
	limit := m.heard.Add(SilenceLimit)
	if m.missed {
		return SendProbe{At: m.sent}
	}
	return SendHeartbeat{At: m.sent.Add(HeartbeatInterval), Deadline: limit}
}

// Heard records an answer; it returns whether the instance was suspected until now.
func (m *Monitor) Heard(sent, now time.Time) bool {
	recovered := m.suspected
	m.heard, m.sent, m.missed, m.excused, m.suspected = now, sent, false, false, false
	return recovered
}

// Missed records a heartbeat without an answer.
func (m *Monitor) Missed(now time.Time) { m.missed, m.sent = true, now }

// ProbeFailed records a failed probe; it returns whether the instance was not suspected until now.
func (m *Monitor) ProbeFailed(sent time.Time) bool {
	first := !m.suspected
	m.sent, m.excused, m.suspected = sent, false, true
	return first
}

// Excused records a failed probe from which nothing follows.
func (m *Monitor) Excused(sent time.Time) { m.sent, m.excused = sent, true }

// Suspected reports whether the last probe failed.
func (m *Monitor) Suspected() bool { return m.suspected }
