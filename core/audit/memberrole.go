package audit

// MemberRole is the role of the member that served a read, as far as the caller knows it.
type MemberRole int

const (
	// UnknownRole means that the caller does not know which member served the read.
	UnknownRole MemberRole = iota
	// Primary means that the primary served the read.
	Primary
	// Replica means that a replica served the read.
	Replica
)
