package owner

import (
	"slices"
	"strings"
	"time"

	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
)

// Report describes an owner for operators.
type Report struct {
	Database  types.DatabaseID `json:"database"`
	Epoch     types.Epoch      `json:"epoch"`
	Phase     string           `json:"phase"`
	Primary   types.TargetID   `json:"primary"`
	Term      types.Term       `json:"term"`
	Position  types.Position   `json:"position"`
	Committed types.Position   `json:"committed"`
	// Lease is true while the lease is valid.
	Lease bool `json:"lease"`
	// Sessions is the number of sessions whose minimum position is kept.
	Sessions int            `json:"sessions"`
	InFlight int            `json:"inFlight"`
	Members  []MemberReport `json:"members"`
}

// MemberReport describes one member as its owner sees it.
type MemberReport struct {
	Target    types.TargetID `json:"target"`
	Role      string         `json:"role"`
	Up        bool           `json:"up"`
	Leaving   bool           `json:"leaving"`
	Streaming bool           `json:"streaming"`
	Position  types.Position `json:"position"`
	Applied   types.Position `json:"applied"`
	// AgeMs is an upper bound of the age of the data, in milliseconds; negative when unknown.
	AgeMs int64 `json:"ageMs"`
	InUse int   `json:"inUse"`
	Queue int   `json:"queue"`
}

// Report returns the current state of the ownership and its members.
func (o *Owner) Report() Report {
	r := o.state.report(time.Now())
	r.Database = o.Database()
	r.Epoch = o.settings.Epoch
	r.Sessions = o.minPositions.Len()
	for i := range r.Members {
		r.Members[i].InUse, r.Members[i].Queue = o.members[r.Members[i].Target].pool.limiter.InUse()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r.InFlight = o.inFlight
	return r
}

func (s *state) report(now time.Time) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		Phase:     s.phase.String(),
		Primary:   s.primary,
		Term:      s.term,
		Position:  s.position,
		Committed: s.committed,
		Lease:     s.leaseValidLocked(),
		Members:   make([]MemberReport, 0, len(s.observations)),
	}
	for target, observed := range s.observations {
		r.Members = append(r.Members, s.memberReport(target, observed, now))
	}
	slices.SortFunc(r.Members, func(a, b MemberReport) int { return strings.Compare(string(a.Target), string(b.Target)) })
	return r
}

func (s *state) memberReport(target types.TargetID, o quorum.Observation, now time.Time) MemberReport {
	_, isDown := s.downSince[target]
	age := int64(-1)
	if bound, ok := s.positionHistory.Age(o.Applied, now); ok {
		age = bound.Milliseconds()
	}
	return MemberReport{
		Target:    target,
		Role:      o.Role.String(),
		Up:        !isDown,
		Leaving:   o.Leaving,
		Streaming: o.Streaming,
		Position:  o.Position,
		Applied:   o.Applied,
		AgeMs:     age,
	}
}
