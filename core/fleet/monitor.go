package fleet

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to the same instance.
	HeartbeatInterval = 200 * time.Millisecond
	// ResponseTimeout is how long an instance may be silent before it is probed over a fresh connection.
	ResponseTimeout = 600 * time.Millisecond
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 300 * time.Millisecond
	// suspectProbeInterval is the time between two probes of a suspected instance.
	suspectProbeInterval = 500 * time.Millisecond
)

// Action is what a monitor wants done next: SendHeartbeat or SendProbe.
type Action interface{ action() }

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

func (SendHeartbeat) action() {}
func (SendProbe) action()     {}

// Monitor decides when one instance counts as suspected; it is not safe for concurrent use.
type Monitor struct {
	lastResponse    time.Time
	lastSent        time.Time
	heartbeatMissed bool
	// probeInconclusive is true when the last probe failed for a reason of the prober's own.
	probeInconclusive bool
	suspected         bool
}

// NewMonitor returns a monitor that counts the instance as heard now and wants a heartbeat at once.
func NewMonitor(now time.Time) *Monitor {
	return &Monitor{lastResponse: now, lastSent: now.Add(-HeartbeatInterval)}
}

// Next returns what to do next.
func (m *Monitor) Next() Action {
	if m.suspected || m.probeInconclusive {
		return SendProbe{At: m.lastSent.Add(suspectProbeInterval)}
	}
	limit := m.lastResponse.Add(ResponseTimeout)
	if m.heartbeatMissed {
		return SendProbe{At: m.lastSent}
	}
	return SendHeartbeat{At: m.lastSent.Add(HeartbeatInterval), Deadline: limit}
}

// RecordResponse records an answer; it returns whether the instance was suspected until now.
func (m *Monitor) RecordResponse(sent, now time.Time) bool {
	recovered := m.suspected
	m.lastResponse, m.lastSent, m.heartbeatMissed, m.probeInconclusive, m.suspected = now, sent, false, false, false
	return recovered
}

// RecordMissedHeartbeat records a heartbeat without an answer.
func (m *Monitor) RecordMissedHeartbeat(now time.Time) { m.heartbeatMissed, m.lastSent = true, now }

// RecordFailedProbe records a failed probe; it returns whether the instance was not suspected until now.
func (m *Monitor) RecordFailedProbe(sent time.Time) bool {
	first := !m.suspected
	m.lastSent, m.probeInconclusive, m.suspected = sent, false, true
	return first
}

// RecordInconclusiveProbe records a failed probe from which nothing follows.
func (m *Monitor) RecordInconclusiveProbe(sent time.Time) {
	m.lastSent, m.probeInconclusive = sent, true
}

// Suspected reports whether the last probe failed.
func (m *Monitor) Suspected() bool { return m.suspected }
