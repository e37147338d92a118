package budget

// Bytes is an amount of memory.
type Bytes int64

// Limits bound what an instance takes in for its callers.
type Limits struct {
	// Bytes are held for all connections together, beyond FreeBytes for each use of a connection.
	Bytes Bytes
	// Sessions are open at once; Opening are the connections at once whose session is not open yet, in addition.
	Sessions int
	Opening  int
}

// MaxConnectionBytes is what one connection holds at most.
func (l Limits) MaxConnectionBytes() Bytes { return Bytes(accountShare * float64(l.Bytes)) }

const (
	// FreeBytes is what a connection holds for one use without a count, so that ordinary messages pass without a lock. What all sessions
	// hold freely is part of sessionBytes.
	FreeBytes Bytes = 4 << 10
	// heapShare is the share of a machine's memory that the heap takes at most; the kernel's buffers, stacks and garbage take the rest.
	heapShare = 0.6
	// ownNeed is what an instance needs for itself in a fleet of 90 instances: 46 MB were measured at the peak.
	ownNeed Bytes = 48 << 20
	// leastShare of the memory goes to callers on a machine with hardly more memory than ownNeed.
	leastShare = 0.2
	// leastBytes is the least amount for callers: four of the largest messages with all their copies.
	leastBytes Bytes = 16 << 20
	// sessionBytes is what a session takes at most without a count: its buffers, here and in the kernel.
	sessionBytes Bytes = 96 << 10
	// unknownMemory and unknownDescriptors are assumed where the platform names no limit.
	unknownMemory      Bytes = 512 << 20
	unknownDescriptors       = 4200
	// fileDescriptors are kept for files. Of the others, callersShare is for callers; the rest is kept for members, other instances, the
	// store, readiness checks and operators.
	fileDescriptors = 200
	callersShare    = 0.75
	// openingShare is the share of the callers' descriptors for connections whose session is not open yet.
	openingShare = 0.2
	// leastSessions keeps an instance of use on a machine with too few descriptors.
	leastSessions = 32
)

// LimitsFor returns the limits of an instance on a machine with the given memory and descriptors; zero means that it is not known.
func LimitsFor(memory Bytes, descriptors int) Limits {
	if memory <= 0 {
		memory = unknownMemory
	}
	if descriptors <= 0 {
		descriptors = unknownDescriptors
	}
	share := Bytes(heapShare*float64(memory)) - ownNeed
	connections := min(int(callersShare*float64(descriptors-fileDescriptors)), int(memory/sessionBytes))
	connections = max(connections, leastSessions)
	opening := int(openingShare * float64(connections))
	return Limits{
		Bytes:    max(share, Bytes(leastShare*float64(memory)), leastBytes),
		Sessions: connections - opening,
		Opening:  opening,
	}
}
