package fleet

// Incarnation distinguishes the runs of an instance: each restart under the same id has a higher one.
type Incarnation uint64
