package place

import (
	"time"

	"turmericpulley/core/clock"
)

// leavingUseLimit is how long after its notice a leaving primary may get new statements. The platform allows 7 s; the rest covers the
// way of a statement to the member.
const leavingUseLimit = 6500 * time.Millisecond

// LastUse returns until when a leaving primary may get new statements when it had not said at the given moment that it leaves. Without
// such a moment, zero, the notice may have any age, and the result is zero too: the member may not be used any more.
//
// It answers a leaving primary whose replacement is delayed, for want of a member or because a former owner may still work. Until it
// is replaced it serves, but not for longer than a leaving member may be used.
func LastUse(stayed clock.Moment) clock.Moment {
	if stayed == 0 {
		return 0
	}
	return stayed.Add(leavingUseLimit)
}
