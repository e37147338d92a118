package quorum

// Role is the role of a member in replication.
type Role int

const (
	// Replica follows a primary and refuses writes.
	Replica Role = iota
	// Primary accepts writes.
	Primary
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}
