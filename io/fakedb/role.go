package fakedb

// Role says whether a member takes writes.
type Role string

const (
	// Primary takes writes.
	Primary Role = "primary"
	// Replica receives the log of a primary, when it is told to follow one.
	Replica Role = "replica"
)
