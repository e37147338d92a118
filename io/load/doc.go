// Package load generates open-loop load against instances, records its history and reports what the callers saw.
//
// Requests start at moments drawn in advance from the seed, whether or not earlier ones were answered, and latency is
// counted from the intended start, so that a stall shows in full (no coordinated omission).
package load
