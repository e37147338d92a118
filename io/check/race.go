//go:build race

package check

// raceArguments builds the program with the race detector, because the tests run with it.
var raceArguments = []string{"-race"}
