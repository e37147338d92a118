package audit

// Check compares a history with the states read before its first and after its last operation.
func Check(operations []Operation, initial, final State) Result {
	verdict := Result{}
	for _, rh := range splitByRow(resolveTransactions(operations, final)) {
		verdict.add(rh.checkInserts(final)...)
		verdict.add(rh.checkVersions(final)...)
		verdict.add(rh.checkCounter(initial, final)...)
		verdict.add(rh.checkCounterReads(initial)...)
	}
	verdict.add(checkSessions(operations, initial)...)
	return verdict
}
