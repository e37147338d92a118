package owner

// phase is the state of an ownership.
type phase int

const (
	// claiming waits until a majority of members is claimed and the previous owner's lease is over or handed over.
	claiming phase = iota
	// electing may serve and looks for a primary.
	electing
	// serving has a primary.
	serving
	// switching waits for the transactions of a leaving primary before another member is promoted.
	switching
	// lost means that another owner has replaced this one or that it was closed.
	lost
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"claiming", "electing", "serving", "switching", "lost"}[p]
}
