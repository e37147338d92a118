package accept

import (
	"slices"

	"turmericpulley/core/types"
)

// State lists the instances of a region by what they are known to do with a change.
type State struct {
	// InForce lists the instances where the change, or a later one, governs.
	InForce []types.InstanceID
	// Waiting lists the live instances that have not confirmed it yet.
	Waiting []types.InstanceID
	// Isolated lists the live instances that have been silent for so long that they have stopped taking work.
	Isolated []types.InstanceID
	// Removed lists the instances that left the membership without having confirmed it, and those that the platform lists
	// although they are no members.
	Removed []types.InstanceID
	// TimeoutElapsed is true once instances outside the membership have had time to stop.
	TimeoutElapsed bool
}

// Accepted reports whether no instance takes new work by an older contract.
func (s State) Accepted() bool { return s.TimeoutElapsed && len(s.Waiting) == 0 }

// Unconfirmed returns the live instances that are not known to have the change in force.
func (s State) Unconfirmed() []types.InstanceID { return slices.Concat(s.Waiting, s.Isolated) }
