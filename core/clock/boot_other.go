//go:build !linux

package clock

// Boot returns the runtime's clock where the system offers none that counts suspensions.
func Boot() Clock { return Runtime() }
