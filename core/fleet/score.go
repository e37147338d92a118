package fleet

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the weight of an instance for a key in rendezvous hashing; the highest score wins.
type score uint64

// scoreOf mixes the hash of the key with that of the instance id (splitmix64 finaliser), so that the orders for two keys are
// independent.
func scoreOf(key uint64, i Instance) score {
	mixed := key ^ xxhash.Sum64String(string(i.ID))
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return score(mixed ^ mixed>>31)
}

// indexedScore pairs the index of an instance in a slice with its score.
type indexedScore struct {
	index int
	score score
}

// processorClass groups instances whose processor time differs by less than a factor of two; a higher class has more. All work on a
// database passes its owner, so that a small machine may be too slow for one while a larger one has time for several.
func processorClass(i Instance) int { return bits.Len(uint(max(i.Processor, 0))) }

// precedesAsOwner reports whether instance a ranks before instance b as the owner of the database whose name has the hash.
func precedesAsOwner(database uint64, a, b Instance) bool {
	return cmp.Or(
		cmp.Compare(processorClass(b), processorClass(a)),
		cmp.Compare(scoreOf(database, b), scoreOf(database, a)),
		compareIDs(a, b),
	) < 0
}

// rankByProcessor returns the instances in the order in which they should do the work of the key: the highest processor class first.
func rankByProcessor(key string, instances []Instance) []Instance {
	ranked := rank(key, instances)
	slices.SortStableFunc(ranked, func(a, b Instance) int { return cmp.Compare(processorClass(b), processorClass(a)) })
	return ranked
}

// rank returns the instances in descending order of their scores for the key.
func rank(key string, instances []Instance) []Instance {
	hash := xxhash.Sum64String(key)
	order := make([]indexedScore, 0, len(instances))
	for index, i := range instances {
		order = append(order, indexedScore{index, scoreOf(hash, i)})
	}
	slices.SortFunc(order, func(a, b indexedScore) int {
		return cmp.Or(cmp.Compare(b.score, a.score), compareIDs(instances[a.index], instances[b.index]))
	})
	ranked := make([]Instance, 0, len(order))
	for _, s := range order {
		ranked = append(ranked, instances[s.index])
	}
	return ranked
}
