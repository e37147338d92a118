package fleet

import (
	"time"

	"turmericpulley/core/types"
)

// FailureReport says that one instance no longer hears another.
type FailureReport struct {
	Reporter    types.InstanceID
	Failed      types.InstanceID
	Incarnation Incarnation
}

// IncarnationID identifies one life of an instance.
type IncarnationID struct {
	ID          types.InstanceID
	Incarnation Incarnation
}

// FailedIncarnation returns the life that the report is about.
func (r FailureReport) FailedIncarnation() IncarnationID {
	return IncarnationID{r.Failed, r.Incarnation}
}

// reportLifetime is how long a report counts; watchers repeat theirs while the failure lasts.
const reportLifetime = 3 * time.Second

// FailureReports collects failure reports; it is not safe for concurrent use.
type FailureReports struct {
	times map[IncarnationID]map[types.InstanceID]time.Time
}

// NewFailureReports returns an empty collection.
func NewFailureReports() *FailureReports {
	return &FailureReports{times: make(map[IncarnationID]map[types.InstanceID]time.Time)}
}

// Add records a report.
func (r *FailureReports) Add(report FailureReport, now time.Time) {
	reporters := r.times[report.FailedIncarnation()]
	if reporters == nil {
		reporters = make(map[types.InstanceID]time.Time)
		r.times[report.FailedIncarnation()] = reporters
	}
	reporters[report.Reporter] = now
}

// CountReporters counts the members that lately reported the failure.
func (r *FailureReports) CountReporters(subject IncarnationID, members Membership, now time.Time) int {
	count := 0
	for reporter, at := range r.times[subject] {
		if _, member := members.Find(reporter); member && now.Sub(at) < reportLifetime {
			count++
		}
	}
	return count
}

// FailedIncarnations returns what there are reports about and drops those out of date or no longer in the membership.
func (r *FailureReports) FailedIncarnations(members Membership, now time.Time) []IncarnationID {
	subjects := make([]IncarnationID, 0, len(r.times))
	for subject := range r.times {
		listed, found := members.Find(subject.ID)
		if !found || listed.Incarnation != subject.Incarnation || r.CountReporters(subject, members, now) == 0 {
			delete(r.times, subject)
			continue
		}
		subjects = append(subjects, subject)
	}
	return subjects
}

// Forget drops the reports about the subject.
func (r *FailureReports) Forget(subject IncarnationID) { delete(r.times, subject) }
