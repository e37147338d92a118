package fleet

// Incarnation counts the lives of an instance; a later life of the same id has a higher one.
type Incarnation uint64
