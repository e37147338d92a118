package reach

import "time"

const (
	// proofPeriod is how long an owner counts as alive after the store has shown a write of its record. When a whole fleet starts, the
	// processors of small machines are busy for about 0.5 s, in which they answer no ping within its time.
	proofPeriod = 1200 * time.Millisecond
	// maxSilentChecks is the number of checks in a row without an answer of any instance after which the instance counts as dead. Each check
	// asks other witnesses, so that by then nearly all instances are lost, or this one cannot tell.
	maxSilentChecks = 2
)

// Check is what one check of an instance that did not answer a first ping has shown.
type Check struct {
	// Answered reports whether the instance answered a second ping, and Refused whether its machine refused the connection: no process
	// listens there, which a busy one does.
	Answered, Refused bool
	// Asked is the number of other instances that were asked whether they reach it. Reached and NotReached count their answers.
	Asked, Reached, NotReached int
}

// Death decides whether an instance that owns databases counts as dead; it is not safe for concurrent use.
//
// It answers the return of a whole fleet, in which all instances start at once and are late with everything. An instance whose own
// processor is busy hears no answers, and would find all owners dead although they serve; it would then claim all databases, be
// overloaded by them, and be found dead by the next. So silence of all proves little, and a write of the owner's record proves life.
type Death struct {
	dead         bool
	silentChecks int
}

// RecordAnswer records that the instance answered a first ping, and returns that it is not dead.
func (d *Death) RecordAnswer() bool {
	*d = Death{}
	return false
}

// RecordCheck records a check and returns whether the instance counts as dead. sinceProof is the time since the store last showed a write
// of the record that names the instance as the owner.
func (d *Death) RecordCheck(c Check, sinceProof time.Duration) bool {
	switch {
	case c.Answered || c.Reached > 0:
		return d.RecordAnswer()
	case c.NotReached > 0 || c.Asked == 0:
		d.silentChecks = 0
		d.dead = d.dead || c.Refused || sinceProof >= proofPeriod
	default:
		d.silentChecks++
		d.dead = d.dead || d.silentChecks >= maxSilentChecks && sinceProof >= proofPeriod
	}
	return d.dead
}
