package audit

import "fmt"

// checkVersions reports acknowledged versions above the final one, and a final version above every version that may have
// been written.
func (h rowHistory) checkVersions(final State) []Finding {
	writes := h.ofKind(Write)
	if len(writes) == 0 {
		return nil
	}
	last := final.Values[h.row]
	var highest Value
	lost := 0
	for _, o := range writes {
		if o.Outcome == Acknowledged && o.Value > last {
			lost++
		}
		if o.mayHaveRun() {
			highest = max(highest, o.Value)
		}
	}
	for _, o := range h.ofKind(Insert) {
		highest = max(highest, o.Value)
	}
	if lost > 0 {
		return []Finding{h.newFinding(LostWrite, lost, fmt.Sprintf("version %d at the end is below an acknowledged one", last))}
	}
	if last > highest {
		return []Finding{h.newFinding(FalseRefusal, 1, fmt.Sprintf("version %d at the end is above all that may have been written", last))}
	}
	return nil
}
