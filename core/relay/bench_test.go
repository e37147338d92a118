package relay_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

const (
	// contractCount and databaseCount are the numbers expected in two years; each group has three databases.
	contractCount     = 10_000
	databaseCount     = 23_000
	databasesPerGroup = 3
)

func fullContract(index int, revision types.Revision) relay.Entry {
	value := fmt.Sprintf(`{"customer":"customer-%d","groups":["group-%d","group-%d"],"connections":10,"maxReadAge":"2s",`+
		`"queueLength":256,"queueTimeout":"2s","statementTimeout":"5s","weight":1,"changeId":"0b6c0a4e-7d0f-4d51-9d63-%012d",`+
		`"changedAt":"2026-12-04T05:00:00Z","operator":"operator-1"}`, index, index, index+1, revision)
	return relay.Entry{Key: fmt.Sprintf("contracts/customer-%d", index), Value: []byte(value), Revision: revision}
}

func fullGroup(index int, revision types.Revision) relay.Entry {
	databases := make([]string, 0, databasesPerGroup)
	for d := range databasesPerGroup {
		members := make([]string, 0, 3)
		for m := range 3 {
			members = append(members, fmt.Sprintf(`{"target":"group-%d-%d-%c","address":"10.%d.%d.%d:5432","dataCentre":"dc-%d"}`,
				index, d, 'a'+m, index>>8, index&255, d*3+m, (index+m)%16))
		}
		databases = append(databases, fmt.Sprintf(`{"database":"group-%d-%d","members":[%s]}`, index, d, strings.Join(members, ",")))
	}
	value := fmt.Sprintf(`{"group":"group-%d","slots":5,"connections":55,"databases":[%s]}`, index, strings.Join(databases, ","))
	return relay.Entry{Key: fmt.Sprintf("groups/group-%d", index), Value: []byte(value), Revision: revision}
}

// fullCache returns a cache of the size expected in two years.
func fullCache() *relay.Cache {
	entries := make([]relay.Entry, 0, contractCount+databaseCount/databasesPerGroup)
	for index := range contractCount {
		entries = append(entries, fullContract(index, types.Revision(index+1)))
	}
	for index := range databaseCount / databasesPerGroup {
		entries = append(entries, fullGroup(index, types.Revision(contractCount+index+1)))
	}
	cache := relay.NewCache()
	cache.Apply(entries)
	return cache
}

// BenchmarkApplyContract applies one change of a contract to a full cache.
func BenchmarkApplyContract(b *testing.B) {
	cache, revision := fullCache(), types.Revision(1_000_000)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		cache.Apply([]relay.Entry{fullContract(int(revision)%contractCount, revision)})
	}
}

// BenchmarkApplyGroup applies one change of a group to a full cache, which rebuilds the index of all databases.
func BenchmarkApplyGroup(b *testing.B) {
	cache, revision := fullCache(), types.Revision(1_000_000)
	b.ReportAllocs()
	for b.Loop() {
		revision++
		cache.Apply([]relay.Entry{fullGroup(int(revision)%1000, revision)})
	}
}

// BenchmarkCacheMemory reports the heap that a full cache of contracts and databases occupies.
func BenchmarkCacheMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		cache := fullCache()
		b.ReportMetric(float64(heap()-before)/1e6, "MB/cache")
		runtime.KeepAlive(cache)
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
