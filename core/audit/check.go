package audit

// Check compares a history with the states read before its first and after its last operation.
func Check(operations []Operation, initial, final State) Result {
	result := Result{}
	for _, rh := range splitByRow(resolveTransactions(operations, final)) {
		result.add(rh.checkInserts(final)...)
		result.add(rh.checkVersions(final)...)
		result.add(rh.checkCounter(initial, final)...)
		result.add(rh.checkCounterReads(initial)...)
	}
	result.add(checkSessions(operations, initial)...)
	return result
}
