package place

import (
	"turmericpulley/core/clock"
	"turmericpulley/core/types"
)

// Grant is the permission to send one statement to a member; it is returned by Desk.Release.
type Grant struct {
	Target types.TargetID
	// Primary tells that the member was chosen as the primary.
	Primary bool
	// Waited tells that the statement did not go out at once.
	Waited bool

	class Class
	at    clock.Moment
	held  bool
}
