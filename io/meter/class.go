package meter

// Class says where a request was served or how it ended.
type Class string

const (
	// ReplicaRead marks requests served by a replica.
	ReplicaRead Class = "replicaRead"
	// Primary marks requests served by the primary.
	Primary Class = "primary"
	// Served marks requests that an instance answered with success without knowing where they ran.
	Served Class = "served"
	// Refused marks requests that were refused and did not run.
	Refused Class = "refused"
	// Unknown marks requests whose outcome is unknown.
	Unknown Class = "unknown"
)
