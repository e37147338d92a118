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
	// DefaultChecks is the number of times that a property is usually checked.
	DefaultChecks = 100
)

// Run runs the tests of a package with property tests as Fix sets them.
func Run(m *testing.M, checks int) {
	Fix(checks)
	os.Exit(m.Run())
}

// Fix gives property tests a fixed seed and a number of checks, unless the command line gives others.
func Fix(checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{seedFlag: fixedSeed, checksFlag: strconv.Itoa(checks)} {
		if f := flag.Lookup(name); f != nil && !given[name] {
			_ = f.Value.Set(value)
		}
	}
}
