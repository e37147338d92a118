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
	// maxPairGap bounds the gap under two faults at once.
	maxPairGap load.Milliseconds = 10_000
	// shortestFault and longestFault bound how long a passing fault lasts.
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	// longestLag bounds the replicas' delay.
	longestLag = 600 * time.Millisecond
	// firstFault and lastFault bound when a fault strikes.
	firstFault = 500 * time.Millisecond
	lastFault  = 2500 * time.Millisecond
)

// randomFault is a fault that may strike with others at any time.
type randomFault struct {
	name   string
	strike func(f *check.Fleet, span time.Duration)
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
		{"owner to primary silent", func(f *check.Fleet, _ time.Duration) {
			if primary := f.Primary(0); primary != nil {
				f.Owner(0).Members[primary.Target].Silence()
			}
		}},
	}
}

func TestTwoFaultsAtOnce(t *testing.T) {
	t.Parallel()
	for _, seed := range check.Seeds(t, 1, 2, 29) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			twoFaults(t, seed)
		})
	}
}

// twoFaults lets two different faults strike at random times.
func twoFaults(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	layout := check.DefaultLayout()
	layout.ApplyLag = time.Duration(random.Int64N(int64(longestLag)))
	f := check.NewFleet(t, layout)
	settings := f.Load()
	settings.Seed = seed
	settings.RequestKeys = random.IntN(2) == 0
	if random.IntN(2) == 0 {
		settings.Workload = load.Kiosk
	}
	t.Logf("seed %d: %s workload, request keys %t, apply lag %v", seed, settings.Workload, settings.RequestKeys, layout.ApplyLag)
	faults := randomFaults()
	random.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	var striking sync.WaitGroup
	for _, fault := range faults[:2] {
		start := between(random, firstFault, lastFault)
		span := between(random, shortestFault, longestFault)
		t.Logf("seed %d: %s after %v for %v", seed, fault.name, start, span)
		striking.Go(func() {
			time.Sleep(start)
			fault.strike(f, span)
		})
	}
	result := f.Run(settings, 0, striking.Wait)
	f.RequireClean(result)
	if result.FailoverGap > maxPairGap {
		t.Errorf("failover gap %.0f ms", float64(result.FailoverGap))
	}
}

func between(random *rand.Rand, lowest, highest time.Duration) time.Duration {
	return lowest + time.Duration(random.Int64N(int64(highest-lowest)))
}
