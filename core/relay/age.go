package relay

import "time"

// Age is a duration in hundredths of a second, rounded up, as instances send it to each other.
type Age byte

const (
	// unknownAge is the highest Age. It stands for an unknown age and for all ages above 2.54 s, which are too old to matter.
	unknownAge Age = 255
	// ageUnit is the duration of an Age of 1.
	ageUnit = 10 * time.Millisecond
)

// ageOf returns the age at the time now of something that happened at the time at; a zero time has an unknown age.
func ageOf(at, now time.Time) Age {
	if at.IsZero() {
		return unknownAge
	}
	units := (max(now.Sub(at), 0) + ageUnit - 1) / ageUnit
	return Age(min(units, time.Duration(unknownAge)))
}

// subtractFrom returns the time that is earlier than at by the age; the zero time when the age is unknown.
func (a Age) subtractFrom(at time.Time) time.Time {
	if a == unknownAge {
		return time.Time{}
	}
	return at.Add(-time.Duration(a) * ageUnit)
}

// NewAge returns the age of a number of hundredths of a second; more than an Age can hold means that the age is unknown.
func NewAge(hundredths uint32) Age { return Age(min(hundredths, uint32(unknownAge))) }
