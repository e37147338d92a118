package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score is the weight of an instance for a key in rendezvous hashing.
type score uint64

// scoreOf mixes the hashes of both so that the order for one key says nothing about the order for another.
func scoreOf(key uint64, i Instance) score {
	mixed := key ^ xxhash.Sum64String(string(i.ID))
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return score(mixed ^ mixed>>31)
}

// indexedScore pairs the place of an instance with its score.
type indexedScore struct {
	index int
	score score
}

// precedes reports whether the first instance comes before the second one for the key.
func precedes(key uint64, a, b Instance) bool {
	return cmp.Or(cmp.Compare(scoreOf(key, b), scoreOf(key, a)), compareIDs(a, b)) < 0
}

// rank returns the instances from the highest score for the key to the lowest.
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
