package fleet

// Incarnation tells the runs of an instance apart: each restart under the same id has a higher one.
type Incarnation uint64
