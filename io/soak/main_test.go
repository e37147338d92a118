package soak_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"turmericpulley/io/check"
)

var (
	firstSeed     = flag.Uint64("soak.first", 2, "first seed; 0 derives one from the current time")
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds")
	faultPeriod   = flag.Duration("soak.span", 8*time.Second, "time during which new faults start, for each seed")
	instanceCount = flag.Int("soak.instances", 4, "number of instances")
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	check.RemoveProgram()
	os.Exit(code)
}
