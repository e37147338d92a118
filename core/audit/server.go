package audit

// MemberRole says which kind of member served a read, as far as the caller knows.
type MemberRole int

const (
	// UnknownRole means that the caller does not know which member served.
	UnknownRole MemberRole = iota
	// Primary means that the primary served.
	Primary
	// Replica means that a replica served.
	Replica
)
