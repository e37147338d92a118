package types

import "cmp"

// LogPosition is a position in the log of a database with the term in which it was written; the zero value precedes all others.
type LogPosition struct {
	Term   Term     `json:"term"`
	Number Position `json:"number"`
}

// Compare orders positions by term and then by number; it returns -1, 0 or 1.
func (p LogPosition) Compare(other LogPosition) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Number, other.Number))
}

// Before reports whether the position precedes the other.
func (p LogPosition) Before(other LogPosition) bool { return p.Compare(other) < 0 }

// Max returns the later of two positions.
func (p LogPosition) Max(other LogPosition) LogPosition {
	if p.Before(other) {
		return other
	}
	return p
}

// IsZero reports whether the position is the zero value, which is no position in a log.
func (p LogPosition) IsZero() bool { return p == LogPosition{} }

// String returns the term and the number, separated by a dot.
func (p LogPosition) String() string { return p.Term.String() + "." + p.Number.String() }
