package fleet

import "time"

const (
	// defaultRequiredReporters is how many instances must have lost contact before one is removed.
	defaultRequiredReporters = 2
	// minLiveForTwoReporters is the number of live instances from which two reporters can be expected.
	minLiveForTwoReporters = 3
	// removalDelayPerRank separates the proposers of a removal in time.
	removalDelayPerRank = 500 * time.Millisecond
	// minorityRemovalDelay holds back a proposer that may itself be on the smaller side of a partition.
	minorityRemovalDelay = 2 * time.Second
	// noContactTimeout is how long an instance hears nobody before it decides without others.
	noContactTimeout = 5 * time.Second
)

// ProposerView is what a proposer knows about its own contacts.
type ProposerView struct {
	// Live is the number of live instances in the membership.
	Live int
	// Monitored is the number of instances that the proposer sends heartbeats to.
	Monitored int
	// Suspected is how many of the watched do not answer.
	Suspected int
	// SinceLastContact is how long the proposer has heard nobody at all.
	SinceLastContact time.Duration
}

// RequiredReporters returns how many instances must report a failure before the proposer acts. An instance that hears
// nobody decides alone, late: had the others been alive they would have removed it by then.
func (v ProposerView) RequiredReporters() int {
	if v.Live < minLiveForTwoReporters || v.SinceLastContact >= noContactTimeout {
		return 1
	}
	return defaultRequiredReporters
}

// RemovalDelay returns how long a proposer of the rank waits before it writes a removal.
func (v ProposerView) RemovalDelay(rank int) time.Duration {
	delay := time.Duration(rank) * removalDelayPerRank
	if v.Live >= minLiveForTwoReporters && 2*v.Suspected > v.Monitored {
		delay += minorityRemovalDelay
	}
	return delay
}
