package accept

import "turmericpulley/core/types"

// State lists the instances of a region by what they are known to do with a change.
type State struct {
	// InForce lists the instances where the change, or a later one, governs.
	InForce []types.InstanceID
	// Waiting lists the live instances that have not confirmed it yet.
	Waiting []types.InstanceID
	// Isolated lists the live instances that have been silent for so long that they have stopped taking work.
	Isolated []types.InstanceID
}

// Accepted reports whether no instance takes new work by an older contract.
func (s State) Accepted() bool { return len(s.Waiting) == 0 }
