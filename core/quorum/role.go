package quorum

// Role is what a member currently is.
type Role int

const (
	// Replica follows a primary and refuses writes.
	Replica Role = iota
	// Primary accepts writes.
	Primary
)

// String returns the role in lower case.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}
