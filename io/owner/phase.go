package owner

// phase is how far an owner has come with its database.
type phase int

const (
	// claiming waits for a majority of members and for the lease of the previous owner.
	claiming phase = iota
	// electing has the right to serve and looks for a primary.
	electing
	// serving has a primary.
	serving
	// switching lets the work of a leaving primary finish.
	switching
	// lost has been replaced by another owner.
	lost
)

// String returns the phase in words.
func (p phase) String() string {
	return [...]string{"claiming", "electing", "serving", "switching", "lost"}[p]
}
