package check_test

import (
	"testing"
	"time"

	"turmericpulley/io/check"
)

// faultDelay is when a fault strikes a running load.
const faultDelay = 1500 * time.Millisecond

func TestWholePath(t *testing.T) {
	f := check.NewFleet(t, check.DefaultLayout())
	settings := f.Load()
	settings.Duration = 3 * time.Second
	settings.Prepared = true
	result := f.Run(settings, faultDelay, func() {})
	f.RequireClean(result)
}
