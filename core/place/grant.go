package place

import "turmericpulley/core/types"

// Grant is the permission to send one statement to a member; Scheduler.Release takes it back.
type Grant struct {
	Target types.TargetID
	// Primary reports whether the member was chosen as the primary.
	Primary bool

	class Class
	// holdsConnection reports whether the grant counts a connection as well as a slot.
	holdsConnection bool
}
