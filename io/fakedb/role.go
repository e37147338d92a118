package fakedb

// Role says whether a member takes writes.
type Role string

const (
	// Primary takes writes.
	Primary Role = "primary"
	// Replica follows a primary, or nobody.
	Replica Role = "replica"
)
