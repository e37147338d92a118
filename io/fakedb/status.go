package fakedb

import (
	"strconv"
	"time"

	"turmericpulley/core/types"
)

// streamingWindow is the maximum time since the last message of the primary for a replica to count as streaming.
const streamingWindow = 500 * time.Millisecond

// neverCalled is reported as SinceOwner when no owner of an older epoch has called and the member has not been restarted.
const neverCalled time.Duration = -1

// Status is the role, the positions and the other state that a member reports.
type Status struct {
	Target     types.TargetID
	Role       Role
	Term       types.Term
	FencedTerm types.Term
	// LogTerm is the term of the last log entry.
	LogTerm types.Term
	// Position is the position of the last log entry.
	Position types.Position
	// Applied is the position up to which log entries are visible.
	Applied types.Position
	// Committed is the highest committed position that a primary knows; a replica reports its applied position here.
	Committed types.Position
	Members   int
	Epoch     types.Epoch
	// PreviousEpoch is the highest epoch before the current one.
	PreviousEpoch types.Epoch
	// SinceOwner is the time since the last status or watch call by an owner of an older epoch, or since a restart. It is -1
	// when there was neither.
	SinceOwner time.Duration
	Leaving    bool
	// Discarded counts the log entries that the member removed because the primary that it follows does not have them.
	Discarded uint64
	// Streaming is true on a primary, and on a replica that received a message of its primary within streamingWindow.
	Streaming   bool
	Connections int
}

// Status returns the status of the member.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status()
}

// status returns the status of the member; the caller holds the lock.
func (m *Member) status() Status {
	committed := m.committed
	if m.role == Replica {
		committed = m.applied
	}
	return Status{
		Target:        m.settings.ID,
		Role:          m.role,
		Term:          m.durable.Term,
		FencedTerm:    m.durable.FencedTerm,
		LogTerm:       m.log.termAt(m.log.lastPosition()),
		Position:      m.log.lastPosition(),
		Applied:       m.applied,
		Committed:     committed,
		Members:       m.settings.Members,
		Epoch:         m.durable.Epoch,
		PreviousEpoch: m.durable.PreviousEpoch,
		SinceOwner:    m.ownerCalls.sinceOlderEpoch(m.durable.Epoch),
		Leaving:       m.leaving,
		Discarded:     m.durable.Discarded,
		Streaming:     m.role == Primary || time.Since(m.upstream.lastContact) <= streamingWindow,
		Connections:   len(m.sessions),
	}
}

// result returns the status as one row of text columns.
func (s Status) result() *result {
	sinceOwner := int64(neverCalled)
	if s.SinceOwner != neverCalled {
		sinceOwner = s.SinceOwner.Milliseconds()
	}
	r := &result{tag: "SELECT 1", rows: make([]row, 1)}
	add := func(name, value string) {
		r.columns = append(r.columns, column{name, textType})
		r.rows[0] = append(r.rows[0], textDatum(value))
	}
	add("target", string(s.Target))
	add("role", string(s.Role))
	add("term", s.Term.String())
	add("fencedTerm", s.FencedTerm.String())
	add("logTerm", s.LogTerm.String())
	add("position", s.Position.String())
	add("applied", s.Applied.String())
	add("committed", s.Committed.String())
	add("members", strconv.Itoa(s.Members))
	add("epoch", s.Epoch.String())
	add("previousEpoch", s.PreviousEpoch.String())
	add("sinceOwnerMs", strconv.FormatInt(sinceOwner, 10))
	add("leaving", strconv.FormatBool(s.Leaving))
	add("discarded", strconv.FormatUint(s.Discarded, 10))
	add("streaming", strconv.FormatBool(s.Streaming))
	add("connections", strconv.Itoa(s.Connections))
	return r
}
