package fleet

import (
	"time"

	"turmericpulley/core/types"
)

// FailureReport states that the reporter has lost contact with an incarnation of another instance.
type FailureReport struct {
	Reporter    types.InstanceID
	Failed      types.InstanceID
	Incarnation Incarnation
}

// IncarnationID identifies one incarnation of an instance.
type IncarnationID struct {
	ID          types.InstanceID
	Incarnation Incarnation
}

// FailedIncarnation returns the incarnation that the report is about.
func (r FailureReport) FailedIncarnation() IncarnationID {
	return IncarnationID{r.Failed, r.Incarnation}
}

// reportLifetime is how long a report is valid; a reporter repeats its report while the failure lasts.
const reportLifetime = 3 * time.Second

// FailureReports holds the time of the latest report of each reporter; it is not safe for concurrent use.
type FailureReports struct {
	times map[IncarnationID]map[types.InstanceID]time.Time
}

// NewFailureReports returns an empty collection.
func NewFailureReports() *FailureReports {
	return &FailureReports{times: make(map[IncarnationID]map[types.InstanceID]time.Time)}
}

// Add records a report that arrived now.
func (r *FailureReports) Add(report FailureReport, now time.Time) {
	reporters := r.times[report.FailedIncarnation()]
	if reporters == nil {
		reporters = make(map[types.InstanceID]time.Time)
		r.times[report.FailedIncarnation()] = reporters
	}
	reporters[report.Reporter] = now
}

// CountReporters returns how many members reported the failure recently.
func (r *FailureReports) CountReporters(failed IncarnationID, members Membership, now time.Time) int {
	count := 0
	for reporter, reportedAt := range r.times[failed] {
		if _, member := members.Find(reporter); member && now.Sub(reportedAt) < reportLifetime {
			count++
		}
	}
	return count
}

// FailedIncarnations returns the incarnations with valid reports. It deletes the reports that have expired and those about
// incarnations that are no longer members.
func (r *FailureReports) FailedIncarnations(members Membership, now time.Time) []IncarnationID {
	incarnations := make([]IncarnationID, 0, len(r.times))
	for failed := range r.times {
		listed, found := members.Find(failed.ID)
		if !found || listed.Incarnation != failed.Incarnation || r.CountReporters(failed, members, now) == 0 {
			delete(r.times, failed)
			continue
		}
		incarnations = append(incarnations, failed)
	}
	return incarnations
}

// Forget deletes the reports about the incarnation.
func (r *FailureReports) Forget(failed IncarnationID) { delete(r.times, failed) }
