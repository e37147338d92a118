package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// failureWeight is the weight of one statement in the failure rate: three failures in a row make a member an outlier, one
	// among ten statements does not.
	failureWeight = 0.1
	// outlierThreshold is the failure rate from which a member is an outlier, recoveryThreshold the rate below which it no longer
	// is. Even on healthy days up to one in twenty answers is lost.
	outlierThreshold  = 0.25
	recoveryThreshold = 0.1
	// failureRateTimeConstant is the time in which the failure rate falls to about a third while an outlier gets no statements,
	// so that it is tried again after about three seconds.
	failureRateTimeConstant = 3 * time.Second
	// maxTrials is the number of statements that an outlier gets at once while the other members are full. One that is not answered costs
	// its caller the time of an attempt, 150 ms; ten answers in a row make the member a usual one again.
	maxTrials = 1
)

// health tracks the rate of a member's statements that failed or got no answer. It detects a member that fails part of its
// statements although it answers status queries.
type health struct {
	failureRate decayingValue
	outlier     bool
}

// record updates the failure rate with the outcome of a statement.
func (h *health) record(failed bool, now clock.Moment) {
	rate := h.failureRate.valueAt(now, failureRateTimeConstant) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	h.failureRate.set(rate, now)
	if rate >= outlierThreshold {
		h.outlier = true
	}
}

// isOutlier reports whether other members are to be preferred.
func (h *health) isOutlier(now clock.Moment) bool {
	if h.outlier && h.failureRate.valueAt(now, failureRateTimeConstant) < recoveryThreshold {
		h.outlier = false
	}
	return h.outlier
}

// acceptsTrial reports whether the outlier may get the statement as a trial. A transaction, which a failure would end, is none, and neither
// is a statement that another member has just failed.
func (m *memberState) acceptsTrial(r SlotRequest) bool {
	return m.inFlight < maxTrials && !r.BeginsTransaction && r.Avoid == ""
}
