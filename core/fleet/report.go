package fleet

import (
	"time"

	"turmericpulley/core/types"
)

// Report says that one instance no longer hears another.
type Report struct {
	Reporter    types.InstanceID
	Failed      types.InstanceID
	Incarnation Incarnation
}

// Subject identifies one life of an instance.
type Subject struct {
	ID          types.InstanceID
	Incarnation Incarnation
}

// Subject returns the life that the report is about.
func (r Report) Subject() Subject { return Subject{r.Failed, r.Incarnation} }

// reportLifetime is how long a report counts; watchers repeat theirs while the failure lasts.
const reportLifetime = 3 * time.Second

// Reports collects failure reports; it is not safe for concurrent use.
type Reports struct {
	heard map[Subject]map[types.InstanceID]time.Time
}

// NewReports returns an empty collection.
func NewReports() *Reports {
	return &Reports{heard: make(map[Subject]map[types.InstanceID]time.Time)}
}

// Add records a report.
func (r *Reports) Add(report Report, now time.Time) {
	reporters := r.heard[report.Subject()]
	if reporters == nil {
		reporters = make(map[types.InstanceID]time.Time)
		r.heard[report.Subject()] = reporters
	}
	reporters[report.Reporter] = now
}

// Reporters counts the members that lately reported the failure.
func (r *Reports) Reporters(subject Subject, members Membership, now time.Time) int {
	count := 0
	for reporter, at := range r.heard[subject] {
		if _, member := members.Find(reporter); member && now.Sub(at) < reportLifetime {
			count++
		}
	}
	return count
}

// Subjects returns what there are reports about and drops those out of date or no longer in the membership.
func (r *Reports) Subjects(members Membership, now time.Time) []Subject {
	subjects := make([]Subject, 0, len(r.heard))
	for subject := range r.heard {
		listed, found := members.Find(subject.ID)
		if !found || listed.Incarnation != subject.Incarnation || r.Reporters(subject, members, now) == 0 {
			delete(r.heard, subject)
			continue
		}
		subjects = append(subjects, subject)
	}
	return subjects
}

// Forget drops the reports about the subject.
func (r *Reports) Forget(subject Subject) { delete(r.heard, subject) }
