package meter

// Class is a label of a request: where it was served, or how it ended.
type Class string

const (
	// ReplicaRead marks requests served by a replica.
	ReplicaRead Class = "replicaRead"
	// Primary marks requests served by the primary.
	Primary Class = "primary"
	// Served marks requests that succeeded at an instance that does not know which member served them.
	Served Class = "served"
	// Refused marks requests that were refused and not run.
	Refused Class = "refused"
	// Unknown marks requests whose outcome is unknown.
	Unknown Class = "unknown"
)
