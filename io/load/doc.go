// Package load generates open-loop load against instances, records its history and reports what the callers saw.
//
// The seed determines when each request is due to start, whether or not earlier requests have ended. Latency is measured
// from that intended start, so that a stall shows in full (no coordinated omission).
package load
