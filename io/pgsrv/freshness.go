package pgsrv

// FreshnessChecker determines whether the instance can know that its contracts are current.
type FreshnessChecker interface {
	// CheckFreshness returns the reason why transactions have to be refused, or nil.
	CheckFreshness() error
}
