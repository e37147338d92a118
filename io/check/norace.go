//go:build !race

package check

// raceArguments is empty, because the tests run without the race detector.
var raceArguments []string
