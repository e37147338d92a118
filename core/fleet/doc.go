// Package fleet computes which instances belong to a region, which of them own each database and which instances send
// heartbeats to which.
package fleet
