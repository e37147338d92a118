package load

import "math/rand/v2"

// NewSeed draws a seed that is short enough to type.
func NewSeed() uint64 { return uint64(rand.Uint32()) }
