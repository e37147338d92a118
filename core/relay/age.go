package relay

import "time"

// Age is a span of time in hundredths of a second, as exchanged between instances; it is rounded up.
type Age byte

const (
	// unknownAge stands for anything too old to matter.
	unknownAge Age = 255
	// ageUnit is the span that an Age of one stands for.
	ageUnit = 10 * time.Millisecond
)

// ageOf returns the age of something that happened at the time.
func ageOf(at, now time.Time) Age {
	if at.IsZero() {
		return unknownAge
	}
	units := (max(now.Sub(at), 0) + ageUnit - 1) / ageUnit
	return Age(min(units, time.Duration(unknownAge)))
}

// subtractFrom returns the time that lies the age before another.
func (a Age) subtractFrom(at time.Time) time.Time {
	if a == unknownAge {
		return time.Time{}
	}
	return at.Add(-time.Duration(a) * ageUnit)
}

// NewAge returns the age for a number of hundredths of a second.
func NewAge(hundredths uint32) Age { return Age(min(hundredths, uint32(unknownAge))) }
