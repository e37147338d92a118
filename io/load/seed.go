package load

import "math/rand/v2"

// NewSeed returns a random seed; it has 32 bits, so that it is short enough to type.
func NewSeed() uint64 { return uint64(rand.Uint32()) }
