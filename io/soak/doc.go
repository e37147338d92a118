// Package soak injects random faults into instances that run as separate processes and checks, from what callers and members
// observe, that the guarantees of the users' platform hold. It contains only tests; docs/PROOFS.md says how to run it.
package soak
