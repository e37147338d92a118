package check_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"turmericpulley/io/check"
	"turmericpulley/io/load"
)

const (
	// maxTwoFaultGap bounds the failover gap when two faults overlap.
	maxTwoFaultGap load.Milliseconds = 10_000
	// minFaultDuration and maxFaultDuration bound the duration of a temporary fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// maxApplyLag bounds the replicas' apply lag.
	maxApplyLag = 600 * time.Millisecond
	// minFaultDelay and maxFaultDelay bound the time from the start of the load to a fault.
	minFaultDelay = 500 * time.Millisecond
	maxFaultDelay = 2500 * time.Millisecond
)

// randomFault is a fault that can be injected at any time, also together with others.
type randomFault struct {
	name   string
	inject func(f *check.Fleet, span time.Duration)
}

func randomFaults() []randomFault {
	return []randomFault{
		{"primary killed and restarted", func(f *check.Fleet, span time.Duration) {
			if primary := f.Primary(0); primary != nil {
				primary.Kill()
				time.Sleep(span)
				primary.Start()
			}
		}},
		{"primary paused", func(f *check.Fleet, span time.Duration) {
			if primary := f.Primary(0); primary != nil {
				primary.Pause()
				time.Sleep(span)
				primary.Resume()
			}
		}},
		{"primary cut off", func(f *check.Fleet, span time.Duration) {
			if primary := f.Primary(0); primary != nil {
				f.CutMember(primary, f.Instances, check.Upstream, check.Downstream)
				time.Sleep(span)
				f.HealMember(primary)
			}
		}},
		{"owner killed and restarted", func(f *check.Fleet, span time.Duration) {
			owner := f.Owner(0)
			owner.Kill()
			time.Sleep(span)
			owner.Start()
		}},
		{"owner paused", func(f *check.Fleet, span time.Duration) {
			owner := f.Owner(0)
			owner.Pause()
			time.Sleep(span)
			owner.Resume()
		}},
		{"owner cut from its peers", func(f *check.Fleet, span time.Duration) {
			owner := f.Owner(0)
			owner.CutPeers(f.Others(owner))
			time.Sleep(span)
			f.HealPeers()
		}},
		{"platform cut off", func(f *check.Fleet, span time.Duration) {
			f.CutPlatform()
			time.Sleep(span)
			f.HealPlatform()
		}},
		{"owner's connections to the primary blackholed", func(f *check.Fleet, _ time.Duration) {
			if primary := f.Primary(0); primary != nil {
				f.Owner(0).MemberLinks[primary.Target].BlackholeOpenConns()
			}
		}},
	}
}

func TestTwoOverlappingFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range check.Seeds(t, 1, 2, 29) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			runTwoFaults(t, seed)
		})
	}
}

// runTwoFaults runs a load and injects two different faults at random times.
func runTwoFaults(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	layout := check.DefaultLayout()
	layout.ApplyLag = time.Duration(random.Int64N(int64(maxApplyLag)))
	f := check.NewFleet(t, layout)
	settings := f.LoadSettings()
	settings.Seed = seed
	settings.RequestKeys = random.IntN(2) == 0
	if random.IntN(2) == 0 {
		settings.Workload = load.Kiosk
	}
	t.Logf("seed %d: %s workload, request keys %t, apply lag %v", seed, settings.Workload, settings.RequestKeys, layout.ApplyLag)
	faults := randomFaults()
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	var faultsDone sync.WaitGroup
	for _, fault := range faults[:2] {
		start := randomDuration(random, minFaultDelay, maxFaultDelay)
		span := randomDuration(random, minFaultDuration, maxFaultDuration)
		t.Logf("seed %d: %s after %v for %v", seed, fault.name, start, span)
		faultsDone.Go(func() {
			time.Sleep(start)
			fault.inject(f, span)
		})
	}
	result := f.RunLoad(settings, 0, faultsDone.Wait)
	f.RequireClean(result)
	if result.FailoverGap > maxTwoFaultGap {
		t.Errorf("failover gap %.0f ms", float64(result.FailoverGap))
	}
}

func randomDuration(random *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(random.Int64N(int64(highest-lowest)))
}
