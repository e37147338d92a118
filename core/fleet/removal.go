package fleet

import "time"

const (
	// defaultRequiredReporters is how many instances must have lost contact with an instance before it is removed.
	defaultRequiredReporters = 2
	// minLiveForTwoReporters is the number of live instances from which two can be expected to report a failed third one.
	minLiveForTwoReporters = 3
	// removalDelayPerRank is how much longer each proposer waits than the one ranked before it, so that the first can write
	// alone.
	removalDelayPerRank = 500 * time.Millisecond
	// minorityRemovalDelay is the extra wait of a proposer that may be on the smaller side of a network partition.
	minorityRemovalDelay = 2 * time.Second
	// noContactTimeout is how long an instance is without any contact before it decides without other reporters.
	noContactTimeout = 5 * time.Second
)

// ProposerView is what a proposer knows about its contact with the other instances.
type ProposerView struct {
	// Live is the number of live instances in the membership.
	Live int
	// Monitored is the number of instances that the proposer sends heartbeats to.
	Monitored int
	// Suspected is how many of those are suspected of having failed.
	Suspected int
	// SinceLastContact is the time since any other instance was last in contact.
	SinceLastContact time.Duration
}

// RequiredReporters returns how many instances must report a failure before the proposer removes the failed instance. An
// instance without any contact decides alone after noContactTimeout: were the others alive, they would have removed it by then.
func (v ProposerView) RequiredReporters() int {
	if v.Live < minLiveForTwoReporters || v.SinceLastContact >= noContactTimeout {
		return 1
	}
	return defaultRequiredReporters
}

// RemovalDelay returns how long the proposer with the rank waits before it writes a removal. In a membership of at least
// three live instances it waits longer when it suspects more than half of those that it monitors, because then it may itself
// be on the smaller side of a partition.
func (v ProposerView) RemovalDelay(rank int) time.Duration {
	delay := time.Duration(rank) * removalDelayPerRank
	if v.Live >= minLiveForTwoReporters && 2*v.Suspected > v.Monitored {
		delay += minorityRemovalDelay
	}
	return delay
}
