// Package clock tells time that includes the suspensions of the machine, by which leases and ages are counted.
//
// The runtime's monotonic time stands still while a machine is suspended, so a lease that is counted by it looks valid
// after its end.
package clock
