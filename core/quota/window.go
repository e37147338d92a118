package quota

import (
	"time"

	"turmericpulley/core/clock"
)

// windowSlots is the number of parts into which a window is divided. What was lent within one part leaves the window together.
const windowSlots = 50

// window counts what was lent during the last period.
type window struct {
	slots [windowSlots + 1]float32
	// newest is the number of the newest slot since the clock's start.
	newest int64
	sum    float64
}

// begin starts an empty window.
func (w *window) begin(period time.Duration, now clock.Moment) { w.newest = slotAt(period, now) }

// assume adds what others may have lent: the most that leaves the window as late as it can. The burst came last, and the rest evenly.
func (w *window) assume(tokens, burst float64) {
	for i := range w.slots {
		w.slots[i] += float32(max(0, tokens-burst) / float64(len(w.slots)))
	}
	w.slots[w.newest%int64(len(w.slots))] += float32(min(tokens, burst))
	for i := range w.slots {
		w.slots[i] = max(0, w.slots[i])
	}
	w.recount()
}

// scale multiplies all that was lent by the factor.
func (w *window) scale(factor float64) {
	for i := range w.slots {
		w.slots[i] *= float32(factor)
	}
	w.recount()
}

// advance drops what has left the window.
func (w *window) advance(period time.Duration, now clock.Moment) {
	slot := slotAt(period, now)
	if w.newest >= slot {
		return
	}
	for w.newest < slot {
		// After a long time all slots are empty.
		w.newest = max(w.newest+1, slot-int64(len(w.slots)))
		w.slots[w.newest%int64(len(w.slots))] = 0
	}
	w.recount()
}

// add counts what was lent now.
func (w *window) add(tokens float64) {
	w.slots[w.newest%int64(len(w.slots))] += float32(tokens)
	w.sum += tokens
}

// takeBack removes tokens that were lent within the given time, the newest first, and returns how many there were.
func (w *window) takeBack(tokens float64, within, period time.Duration) float64 {
	left := float32(tokens)
	for age := range min(int64(within/(period/windowSlots))+1, windowSlots) {
		slot := &w.slots[(w.newest-age)%int64(len(w.slots))]
		taken := min(left, *slot)
		*slot -= taken
		left -= taken
	}
	w.recount()
	return tokens - float64(left)
}

// wait returns how long until as many tokens have left the window.
func (w *window) wait(tokens float64, period time.Duration, now clock.Moment) time.Duration {
	slot := period / windowSlots
	for age := int64(windowSlots); age >= 0; age-- {
		i := (w.newest - age + 2*int64(len(w.slots))) % int64(len(w.slots))
		if tokens -= float64(w.slots[i]); tokens <= 0 {
			return time.Duration(w.newest-age+int64(len(w.slots)))*slot - time.Duration(now)
		}
	}
	return period
}

// recount adds up the slots, so that rounding does not gather in the sum.
func (w *window) recount() {
	w.sum = 0
	for _, tokens := range w.slots {
		w.sum += float64(tokens)
	}
}

func slotAt(period time.Duration, now clock.Moment) int64 {
	return int64(time.Duration(now) / (period / windowSlots))
}
