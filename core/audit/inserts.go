package audit

import "fmt"

// checkInserts reports acknowledged ids that are missing, ids found or acknowledged more than once, and ids that are
// present although no insert of them was acknowledged or unknown.
func (h rowHistory) checkInserts(final State) []Finding {
	inserts := h.ofKind(Insert)
	if len(inserts) == 0 {
		return nil
	}
	var findings []Finding
	acknowledged, possible := countOutcomes(inserts)
	copies := final.Copies[h.row]
	if acknowledged > 0 && copies == 0 {
		findings = append(findings, h.newFinding(LostWrite, 1, "the insert was acknowledged and the row is missing at the end"))
	}
	if copies > 1 {
		findings = append(findings, h.newFinding(DoubledWrite, copies-1, fmt.Sprintf("the id was found %d times at the end", copies)))
	}
	if acknowledged > 1 {
		findings = append(findings, h.newFinding(DoubledWrite, acknowledged-1,
			fmt.Sprintf("inserts of one id were acknowledged %d times", acknowledged)))
	}
	if possible == 0 && copies > 0 {
		findings = append(findings, h.newFinding(FalseRefusal, 1, "no insert was acknowledged or unknown and the row exists at the end"))
	}
	return findings
}

// countOutcomes returns how many operations were acknowledged and how many were acknowledged or unknown.
func countOutcomes(operations []Operation) (acknowledged, possible int) {
	for _, o := range operations {
		if o.Outcome == Acknowledged {
			acknowledged++
		}
		if o.mayHaveRun() {
			possible++
		}
	}
	return acknowledged, possible
}
