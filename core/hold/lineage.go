package hold

import "turmericpulley/core/types"

// Promotion is a promotion that an owner intends. The owner records it before it asks the platform for it, and with it what the next
// owner needs to tell which logs belong to the history in force.
type Promotion struct {
	Target types.TargetID `json:"target"`
	// Term is above all terms that the owner knows. The platform counts only promotions that took effect, so that the target's term may
	// turn out to be lower.
	Term types.Term `json:"term"`
	// Before is what the target reported about itself at the election; zero in a record that was written before it was recorded.
	Before Report `json:"before"`
	// Timeline is the history that the promotion continues. It includes earlier promotions of which nobody has seen whether they took
	// effect.
	Timeline types.Timeline `json:"timeline,omitempty"`
	// Void is set when the promotion is known to have had no effect.
	Void bool `json:"void,omitempty"`
}

// Report is what a member reports about itself.
type Report struct {
	Target  types.TargetID `json:"target,omitempty"`
	Primary bool           `json:"primary,omitempty"`
	// Term is that of the primary that the member is or follows, End the end of its log.
	Term types.Term        `json:"term,omitempty"`
	End  types.LogPosition `json:"end"`
	// StartedUnixMs is when the member started, in Unix milliseconds.
	StartedUnixMs int64 `json:"startedUnixMs,omitempty"`
}

// newestTerm returns the newest term of which the member knows.
func (r Report) newestTerm() types.Term { return max(r.Term, r.End.Term) }

// Voided returns the record of a promotion that had no effect, so that the history in force is the given one.
func (p Promotion) Voided(t types.Timeline) Promotion {
	p.Void, p.Timeline = true, t
	return p
}

// LedTo reports whether the member reports the effect of the promotion.
func (p Promotion) LedTo(r Report) bool {
	return r.Primary && r.Target == p.Target && r.Term > p.Before.newestTerm()
}

// isRefutedBy reports whether the member's report proves that the promotion has had no effect so far: the target has not started again
// since the election, and has not moved to a later term. A target that has started again may hold nothing of before; its log shows that
// before its entry in the store does.
func (p Promotion) isRefutedBy(r Report) bool {
	hasRunOn := r.StartedUnixMs == p.Before.StartedUnixMs && r.End.Number >= p.Before.End.Number
	return r.Target == p.Target && hasRunOn && r.newestTerm() <= p.Before.newestTerm()
}

// ConfirmsPresent reports whether the member was a primary before the promotion and still reports the same term. If the platform accepted
// the promotion, and it would have taken effect by now, the member is the platform's present primary.
func (p Promotion) ConfirmsPresent(r Report) bool {
	return p.Before.Primary && r.Primary && r.Term == p.Before.Term && p.isRefutedBy(r)
}

// applyTo returns the timeline after the promotion took effect in the term.
func (p Promotion) applyTo(t types.Timeline, term types.Term) types.Timeline {
	return t.With(term, p.end())
}

// end returns the end of the target's log at the election with the target's term, so that it says to which history the log belongs.
func (p Promotion) end() types.LogPosition {
	if p.Before.newestTerm() == 0 {
		return types.LogPosition{}
	}
	return types.LogPosition{Term: p.Before.newestTerm(), Number: p.Before.End.Number}
}

// Lineage decides for one owner which history of the database is in force: which promotions have taken effect, which members may be used
// as the primary, and which logs belong to that history. It is not safe for concurrent use.
//
// A promotion counts as without effect only if the platform has said so or its target, running since, reports that it is in the term that
// it had. That a member is no longer listed, does not answer or has come back proves nothing. While a promotion is open, the old primary
// is not used in its old term: it has to be promoted itself, or confirmed by the platform.
type Lineage struct {
	// timeline is the history in which this owner lets its callers read and write.
	timeline types.Timeline
	// recorded is the history that the next owner has to assume: it includes promotions that may have taken effect unseen.
	recorded types.Timeline
	// open is a promotion that was requested and of which nobody has seen whether it took effect; nil when there is none. inherited is
	// set when an earlier owner requested it, which may have served its term.
	open      *Promotion
	inherited bool
}

// NewLineage returns what an owner knows that takes over after the recorded promotion, nil for none.
func NewLineage(recorded *Promotion) *Lineage {
	if recorded == nil {
		return &Lineage{}
	}
	p := *recorded
	if p.Void {
		return &Lineage{timeline: p.Timeline, recorded: p.Timeline}
	}
	return &Lineage{timeline: p.Timeline, recorded: p.Timeline, open: &p, inherited: true}
}

// HasOpenPromotion reports whether a promotion may have taken effect unseen.
func (l *Lineage) HasOpenPromotion() bool { return l.open != nil }

// Refute closes the open promotion if one of the reports proves that it had no effect. The caller makes sure that its call cannot take
// effect any more.
func (l *Lineage) Refute(reports []Report) {
	for _, r := range reports {
		if l.open != nil && l.open.isRefutedBy(r) {
			l.open, l.inherited = nil, false
		}
	}
}

// MayUse reports whether the member may be used as the primary in the term that it reports.
func (l *Lineage) MayUse(r Report) bool {
	if !r.Primary || r.Term < l.recorded.Last() {
		return false
	}
	return l.open == nil || l.open.LedTo(r) || r.Term >= l.open.Term
}

// Requested records that the platform was asked for the promotion, which may take effect.
func (l *Lineage) Requested(p Promotion) {
	if l.inherited {
		l.timeline = p.Timeline
	}
	l.recorded, l.open, l.inherited = p.Timeline, &p, false
}

// Opened records that the member is used as the primary, and returns the history in force then. A primary that has not written yet reports
// where its term began; otherwise that is known only from the record of its promotion.
func (l *Lineage) Opened(r Report) types.Timeline {
	promoted, unwritten := l.open != nil && l.open.LedTo(r), r.End.Term < r.Term && r.End.Number > 0
	switch {
	case promoted && unwritten:
		l.timeline = l.timeline.With(r.Term, types.LogPosition{Term: l.open.Before.newestTerm(), Number: r.End.Number})
	case promoted:
		l.timeline = l.open.applyTo(l.timeline, r.Term)
	case unwritten && l.timeline.Last() < r.Term:
		l.timeline = l.timeline.With(r.Term, r.End)
	default:
		l.timeline = l.timeline.UpTo(r.Term)
	}
	l.recorded, l.open, l.inherited = l.timeline, nil, false
	return l.timeline
}

// Timeline returns the history with which this owner compares the members' logs. An open promotion belongs to it if callers may have
// been served in its term, or if a member reports a later term.
func (l *Lineage) Timeline(reports []Report) types.Timeline {
	t := l.timeline
	if l.open != nil && (l.inherited || newestTerm(reports) > t.Last()) {
		t = l.withOpen(t, reports)
	}
	return withTermOf(t, reports)
}

// NextRecord returns the history to record with the next promotion.
func (l *Lineage) NextRecord(reports []Report) types.Timeline {
	t := l.recorded
	if l.open != nil {
		t = l.withOpen(t, reports)
	}
	return withTermOf(t, reports)
}

// withOpen returns the timeline after the open promotion, which leads to the next term at least. Until then its target may have received
// more than at the election.
func (l *Lineage) withOpen(t types.Timeline, reports []Report) types.Timeline {
	p := *l.open
	for _, r := range reports {
		if p.isRefutedBy(r) {
			p.Before.End.Number = max(p.Before.End.Number, r.End.Number)
		}
	}
	return p.applyTo(t, max(p.Before.newestTerm(), t.Last())+1)
}

// withTermOf returns the timeline with the newest term that the members report. Where a term of which no record is known began is unknown.
func withTermOf(t types.Timeline, reports []Report) types.Timeline {
	if newest := newestTerm(reports); newest > t.Last() {
		return t.With(newest, types.LogPosition{})
	}
	return t
}

func newestTerm(reports []Report) types.Term {
	var newest types.Term
	for _, r := range reports {
		newest = max(newest, r.newestTerm())
	}
	return newest
}
