//go:build race

package check

// raceArguments builds the program with the race detector, as the tests are.
var raceArguments = []string{"-race"}
