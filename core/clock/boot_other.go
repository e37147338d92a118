//go:build !linux

package clock

// Boot returns the clock of Runtime on systems for which no clock that counts suspensions is implemented.
func Boot() Clock { return Runtime() }
