package check

import "testing"

// NewProcess starts the program with the arguments and ends it with the test.
func NewProcess(tb testing.TB, name string, arguments ...string) *Process {
	tb.Helper()
	return newProcess(tb, name, arguments...)
}
