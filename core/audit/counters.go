package audit

import "fmt"

// counterRange is the range of values that a counter may hold.
type counterRange struct {
	lowest  Value
	highest Value
}

// add widens the range by what the increment may have added according to its outcome.
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

// checkCounter reports a final value outside the range that the acknowledged and unknown increments allow.
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

// checkCounterReads reports reads of a counter that returned more than the sum of its initial value and all increments
// that may have run and started before the read ended.
func (h rowHistory) checkCounterReads(initial State) []Finding {
	increments := h.ofKind(Increment)
	if len(increments) == 0 {
		return nil
	}
	var excess Value
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
		excess = max(excess, read.Value-highest)
	}
	if excess > 0 {
		return []Finding{h.newFinding(DoubledWrite, int(excess), "a read returned more than all increments so far could have added")}
	}
	return nil
}
