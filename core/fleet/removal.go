package fleet

import "time"

const (
	// usualReporters is how many instances must have lost contact before one is removed.
	usualReporters = 2
	// smallFleet is the number of live instances from which two reporters can be expected.
	smallFleet = 3
	// rankDelay separates the proposers of a removal in time.
	rankDelay = 500 * time.Millisecond
	// minorityDelay holds back a proposer that may itself be on the smaller side of a partition.
	minorityDelay = 2 * time.Second
	// aloneAfter is how long an instance hears nobody before it decides without others.
	aloneAfter = 5 * time.Second
)

// View is what a proposer knows about its own contacts.
type View struct {
	// Live is the number of live instances in the membership.
	Live int
	// Watched is the number of instances that the proposer sends heartbeats to.
	Watched int
	// Suspected is how many of the watched do not answer.
	Suspected int
	// Silence is how long the proposer has heard nobody at all.
	Silence time.Duration
}

// ReportersNeeded returns how many instances must report a failure before the proposer acts. An instance that hears
// nobody decides alone, late: had the others been alive they would have removed it by then.
func (v View) ReportersNeeded() int {
	if v.Live < smallFleet || v.Silence >= aloneAfter {
		return 1
	}
	return usualReporters
}

// RemovalDelay returns how long a proposer of the rank waits before it writes a removal.
func (v View) RemovalDelay(rank int) time.Duration {
	delay := time.Duration(rank) * rankDelay
	if v.Live >= smallFleet && 2*v.Suspected > v.Watched {
		delay += minorityDelay
	}
	return delay
}
