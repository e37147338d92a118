package check

// Direction is a direction of data on a link.
type Direction string

const (
	// Upstream is the direction from the dialling side to the listening side.
	Upstream Direction = "upstream"
	// Downstream is the direction from the listening side to the dialling side.
	Downstream Direction = "downstream"
)

// bothDirections returns Upstream and Downstream.
func bothDirections() []Direction { return []Direction{Upstream, Downstream} }
