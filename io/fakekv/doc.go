// Package fakekv is a test stand-in for the platform: a key-value store with leases and watches, and a list of
// instances and targets that callers see with a delay.
package fakekv
