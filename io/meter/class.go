package meter

// Class is the value of a request's class label. It says where the request was served, or that it was refused or has
// an unknown outcome.
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
	// Unknown marks requests whose outcome is unknown. It also marks requests that the proxy ended with the outcome failed, and
	// requests whose caller disconnected.
	Unknown Class = "unknown"
)
