package tests

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

const (
	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	fixedSeed  = "20261204"
	// DefaultChecks is the usual number of generated cases per property.
	DefaultChecks = 100
)

// Run calls SetRapidDefaults, runs the tests of a package and ends the process.
func Run(m *testing.M, checks int) {
	SetRapidDefaults(checks)
	os.Exit(m.Run())
}

// SetRapidDefaults sets a fixed seed and the number of checks of property tests, unless the command line sets them.
func SetRapidDefaults(checks int) {
	flag.Parse()
	onCommandLine := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { onCommandLine[f.Name] = true })
	for name, value := range map[string]string{seedFlag: fixedSeed, checksFlag: strconv.Itoa(checks)} {
		if f := flag.Lookup(name); f != nil && !onCommandLine[name] {
			_ = f.Value.Set(value)
		}
	}
}
