package check

// Direction says which way data flows on a link.
type Direction string

const (
	// Upstream is the way from the side that dials to the side that listens.
	Upstream Direction = "upstream"
	// Downstream is the way back.
	Downstream Direction = "downstream"
)

// bothDirections lists the two ways.
func bothDirections() []Direction { return []Direction{Upstream, Downstream} }
