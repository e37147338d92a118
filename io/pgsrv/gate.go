package pgsrv

// FreshnessChecker refuses new work when the instance cannot know that its contracts are current.
type FreshnessChecker interface {
	// CheckFreshness returns the reason for refusing new work, or nil.
	CheckFreshness() error
}
