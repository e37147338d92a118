// Package clock provides the clock by which leases and ages are measured. It counts the time in which the machine is
// suspended.
//
// The monotonic time of the Go runtime stands still while the machine is suspended. A lease measured by it would look valid
// after it has expired.
package clock
