package audit

// Server says which kind of member served a read, as far as the caller knows.
type Server int

const (
	// AnyMember means that the caller does not know which member served.
	AnyMember Server = iota
	// Primary means that the primary served.
	Primary
	// Replica means that a replica served.
	Replica
)
