package owner

import (
	"turmericpulley/core/types"
)

// commitWaiter waits until a majority of members holds a log position of a term.
type commitWaiter struct {
	term     types.Term
	position types.Position
	// done receives nil once the position is confirmed, or an error when this owner can no longer confirm it.
	done chan error
}
