package match

// Verdict is what is known of an answer.
type Verdict int

const (
	// Own means that the answer belongs to the statement.
	Own Verdict = iota + 1
	// Repeated means that it is a second answer to an earlier statement; the statement's own answer follows.
	Repeated
	// Unconfirmed means that the answer fits the statement, and that a second answer to an earlier statement would look the same but
	// would be unusually late: it belongs to the statement if the answer to a guard follows.
	Unconfirmed
	// Unproved means the same when the second answer would not be late, so that one to an earlier guard may be due as well.
	Unproved
	// Misplaced means that the answer cannot belong to the statement, and that it is not known which statement it belongs to.
	Misplaced
)

// String returns the verdict as log lines show it.
func (v Verdict) String() string {
	switch v {
	case Own:
		return "own"
	case Repeated:
		return "repeated"
	case Unconfirmed:
		return "unconfirmed"
	case Unproved:
		return "unproved"
	default:
		return "misplaced"
	}
}
