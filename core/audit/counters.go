package audit

import "fmt"

// counterRange is what a counter may hold.
type counterRange struct {
	lowest  Value
	highest Value
}

// add widens the range by an increment with the outcome.
func (r *counterRange) add(o Operation) {
	switch o.Outcome {
	case Acknowledged:
		r.lowest += o.Value
		r.highest += o.Value
	case Unknown:
		r.highest += o.Value
	case NotRun, Failed:
	}
}

// checkCounter finds a final value outside what the acknowledged and unknown increments allow.
func (h rowHistory) checkCounter(initial, final State) []Finding {
	increments := h.ofKind(Increment)
	if len(increments) == 0 {
		return nil
	}
	start := initial.Values[h.row]
	allowed := counterRange{lowest: start, highest: start}
	for _, o := range increments {
		allowed.add(o)
	}
	last := final.Values[h.row]
	detail := fmt.Sprintf("the counter ends at %d, allowed are %d to %d", last, allowed.lowest, allowed.highest)
	if last < allowed.lowest {
		return []Finding{h.newFinding(LostWrite, int(allowed.lowest-last), detail)}
	}
	if last > allowed.highest {
		return []Finding{h.newFinding(DoubledWrite, int(last-allowed.highest), detail)}
	}
	return nil
}

// checkCounterReads finds reads of a counter above what all increments that started before the read's end allow.
func (h rowHistory) checkCounterReads(initial State) []Finding {
	increments := h.ofKind(Increment)
	if len(increments) == 0 {
		return nil
	}
	var worst Value
	for _, read := range h.ofKind(Read) {
		if read.Outcome != Acknowledged {
			continue
		}
		highest := initial.Values[h.row]
		for _, o := range increments {
			if o.Invoked < read.Returned && o.mayHaveRun() {
				highest += o.Value
			}
		}
		worst = max(worst, read.Value-highest)
	}
	if worst > 0 {
		return []Finding{h.newFinding(DoubledWrite, int(worst), "a read returned more than all increments so far could have added")}
	}
	return nil
}
