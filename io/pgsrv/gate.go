package pgsrv

// Gate refuses new work when the instance cannot know that its contracts are current.
type Gate interface {
	// Fresh returns the reason for refusing new work, or nil.
	Fresh() error
}
