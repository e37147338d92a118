package reads_test

import (
	"fmt"
	"runtime"
	"testing"

	"turmericpulley/core/reads"
	"turmericpulley/core/types"
)

const benchSessions = 100_000

// BenchmarkFloorMemory reports the bytes that each session with a floor takes.
func BenchmarkFloorMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		floors := reads.NewMinPositions(0)
		for i := range benchSessions {
			floors.Record(reads.Session{Customer: "desk", Name: types.SessionName(fmt.Sprintf("session-%08d", i))}, types.Position(i+1))
		}
		b.ReportMetric(float64(heap()-before)/benchSessions, "B/session")
		runtime.KeepAlive(floors)
	}
}

// BenchmarkRaiseBase raises the base over many sessions without forgetting any, as an owner does while replicas lag.
func BenchmarkRaiseBase(b *testing.B) {
	floors := reads.NewMinPositions(0)
	for i := range benchSessions {
		floors.Record(reads.Session{Customer: "desk", Name: types.SessionName(fmt.Sprintf("session-%08d", i))}, 1<<60)
	}
	position := types.Position(1)
	for b.Loop() {
		position++
		floors.RaiseBase(position)
	}
}

func heap() uint64 {
	for range 2 {
		runtime.GC()
	}
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
