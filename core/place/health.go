package place

import (
	"time"

	"turmericpulley/core/clock"
)

const (
	// failureWeight is the weight of one answer in the share of failures: three failures in a row make a member doubtful, one
	// among ten answers does not.
	failureWeight = 0.1
	// doubtfulFrom and soundBelow are the shares at which a member becomes doubtful and is sound again. Single answers are lost
	// at up to one in twenty on days that are otherwise healthy.
	doubtfulFrom = 0.25
	soundBelow   = 0.1
	// forgetSpan is the time in which the share falls to a third while a doubtful member gets no work, so that it is tried
	// again after about three seconds.
	forgetSpan = 3 * time.Second
)

// health is the share of a member's statements that failed or had no answer. It answers members that fail part of their
// requests although they answer questions for their status.
type health struct {
	failures fading
	doubtful bool
}

// note takes the end of a statement.
func (h *health) note(failed bool, now clock.Moment) {
	share := h.failures.now(now, forgetSpan) * (1 - failureWeight)
	if failed {
		share += failureWeight
	}
	h.failures.set(share, now)
	if share >= doubtfulFrom {
		h.doubtful = true
	}
}

// isDoubtful reports whether work should go to other members.
func (h *health) isDoubtful(now clock.Moment) bool {
	if h.doubtful && h.failures.now(now, forgetSpan) < soundBelow {
		h.doubtful = false
	}
	return h.doubtful
}
