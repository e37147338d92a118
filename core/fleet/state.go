package fleet

// State says whether an instance or target takes new work.
type State string

const (
	// Live marks an instance that takes new work.
	Live State = "live"
	// Leaving marks an instance that finishes its work and then stops.
	Leaving State = "leaving"
)
