package owner

import (
	"turmericpulley/core/types"
)

// commitWaiter waits until a majority holds a position of a term.
type commitWaiter struct {
	term     types.Term
	position types.Position
	// done receives nil once the position is confirmed, or why it never will be.
	done chan error
}
