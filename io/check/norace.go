//go:build !race

package check

// raceArguments is empty: the tests run without the race detector, and so does the program.
var raceArguments []string
