package fleet

import "time"

const (
	// HeartbeatInterval is the time between two heartbeats to the same instance.
	HeartbeatInterval = 200 * time.Millisecond
	// ResponseTimeout is how long an instance may go without a response before it is probed over a new connection.
	ResponseTimeout = 600 * time.Millisecond
	// ProbeTimeout is how long a probe waits for its response.
	ProbeTimeout = 300 * time.Millisecond
	// suspectProbeInterval is the time between two probes of an instance after a failed or inconclusive one.
	suspectProbeInterval = 500 * time.Millisecond
)

// Action is what the caller of a Monitor has to do next: SendHeartbeat or SendProbe.
type Action interface{ action() }

// SendHeartbeat asks for a heartbeat over the existing connection.
type SendHeartbeat struct {
	// At is when to send.
	At time.Time
	// Deadline is when the heartbeat counts as missed.
	Deadline time.Time
}

// SendProbe asks for a heartbeat over a new connection.
type SendProbe struct {
	// At is when to send.
	At time.Time
}

func (SendHeartbeat) action() {}
func (SendProbe) action()     {}

// Monitor is the failure detector for one instance: it schedules heartbeats and probes and suspects the instance when a
// probe fails. It is not safe for concurrent use.
type Monitor struct {
	lastResponse time.Time
	// lastSent is when the last heartbeat or probe was sent, or when a heartbeat was found to be missed.
	lastSent        time.Time
	heartbeatMissed bool
	// probeInconclusive is true when the last probe failed for a reason that lies with the prober.
	probeInconclusive bool
	suspected         bool
}

// NewMonitor returns a monitor that treats now as the last response and asks for a heartbeat at once.
func NewMonitor(now time.Time) *Monitor {
	return &Monitor{lastResponse: now, lastSent: now.Add(-HeartbeatInterval)}
}

// Next returns the next action and when it is due.
func (m *Monitor) Next() Action {
	if m.suspected || m.probeInconclusive {
		return SendProbe{At: m.lastSent.Add(suspectProbeInterval)}
	}
	deadline := m.lastResponse.Add(ResponseTimeout)
	if m.heartbeatMissed {
		return SendProbe{At: m.lastSent}
	}
	return SendHeartbeat{At: m.lastSent.Add(HeartbeatInterval), Deadline: deadline}
}

// RecordResponse records a response to the heartbeat or probe that was sent at the given time. It returns whether the
// instance was suspected until now.
func (m *Monitor) RecordResponse(sent, now time.Time) bool {
	recovered := m.suspected
	m.lastResponse, m.lastSent, m.heartbeatMissed, m.probeInconclusive, m.suspected = now, sent, false, false, false
	return recovered
}

// RecordMissedHeartbeat records that a heartbeat got no response, so that a probe is due at once.
func (m *Monitor) RecordMissedHeartbeat(now time.Time) { m.heartbeatMissed, m.lastSent = true, now }

// RecordFailedProbe records a failed probe and returns whether the instance becomes suspected by it.
func (m *Monitor) RecordFailedProbe(sent time.Time) bool {
	newlySuspected := !m.suspected
	m.lastSent, m.probeInconclusive, m.suspected = sent, false, true
	return newlySuspected
}

// RecordInconclusiveProbe records a probe that failed for a reason that lies with the prober; it changes no suspicion.
func (m *Monitor) RecordInconclusiveProbe(sent time.Time) {
	m.lastSent, m.probeInconclusive = sent, true
}

// Suspected reports whether a probe failed since the last response.
func (m *Monitor) Suspected() bool { return m.suspected }
