package reads_test

import (
	"fmt"
	"runtime"
	"testing"

	"turmericpulley/core/reads"
	"turmericpulley/core/types"
)

const benchSessions = 100_000

// BenchmarkMinPositionMemory reports the memory per session with a minimum position.
func BenchmarkMinPositionMemory(b *testing.B) {
	for b.Loop() {
		bytesBefore := heapBytes()
		minPositions := reads.NewMinPositions(0)
		for i := range benchSessions {
			minPositions.Record(reads.Session{Customer: "desk", Name: types.SessionName(fmt.Sprintf("session-%08d", i))}, types.Position(i+1))
		}
		b.ReportMetric(float64(heapBytes()-bytesBefore)/benchSessions, "B/session")
		runtime.KeepAlive(minPositions)
	}
}

// BenchmarkRaiseBase raises the base over many sessions without removing any, as an owner does while replicas lag.
func BenchmarkRaiseBase(b *testing.B) {
	minPositions := reads.NewMinPositions(0)
	for i := range benchSessions {
		minPositions.Record(reads.Session{Customer: "desk", Name: types.SessionName(fmt.Sprintf("session-%08d", i))}, 1<<60)
	}
	position := types.Position(1)
	for b.Loop() {
		position++
		minPositions.RaiseBase(position)
	}
}

func heapBytes() uint64 {
	for range 2 {
		runtime.GC()
	}
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
