package accept

import (
	"slices"

	"turmericpulley/core/types"
)

// State groups the instances of a region by whether they are known to have a change in force.
type State struct {
	// InForce lists the members that have the change, or a later one, in force.
	InForce []types.InstanceID
	// Waiting lists the live members that are not known to have the change in force and may still take work without it.
	Waiting []types.InstanceID
	// Isolated lists the live members that have not answered for so long that they have stopped taking new work.
	Isolated []types.InstanceID
	// Removed lists the instances that left the membership and are not known to have the change in force, and those that the
	// platform lists although they have never been members.
	Removed []types.InstanceID
	// TimeoutElapsed is true once IsolationTimeout has passed since a majority had the change in force, so that instances
	// outside the membership have stopped taking new work. It is also true while there has been no member at all.
	TimeoutElapsed bool
}

// Accepted reports whether no instance takes new work under an older contract.
func (s State) Accepted() bool { return s.TimeoutElapsed && len(s.Waiting) == 0 }

// Unconfirmed returns the live members that are not known to have the change in force.
func (s State) Unconfirmed() []types.InstanceID { return slices.Concat(s.Waiting, s.Isolated) }
