package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// failureWeight is the weight of one answer in the share of failures: three failures in a row make a member doubtful, one
	// among ten answers does not.
	failureWeight = 0.1
	// outlierThreshold and soundBelow are the shares at which a member becomes doubtful and is sound again. Single answers are lost
	// at up to one in twenty on days that are otherwise healthy.
	outlierThreshold  = 0.25
	recoveryThreshold = 0.1
	// failureRateTimeConstant is the time in which the share falls to a third while a doubtful member gets no work, so that it is tried
	// again after about three seconds.
	failureRateTimeConstant = 3 * time.Second
)

// health is the share of a member's statements that failed or had no answer. It answers members that fail part of their
// requests although they answer questions for their status.
type health struct {
	failureRate decayingValue
	outlier     bool
}

// record takes the end of a statement.
func (h *health) record(failed bool, now clock.Moment) {
	share := h.failureRate.valueAt(now, failureRateTimeConstant) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	h.failureRate.set(share, now)
	if share >= outlierThreshold {
		h.outlier = true
	}
}

// isOutlier reports whether work should go to other members.
func (h *health) isOutlier(now clock.Moment) bool {
	if h.outlier && h.failureRate.valueAt(now, failureRateTimeConstant) < recoveryThreshold {
		h.outlier = false
	}
	return h.outlier
}
