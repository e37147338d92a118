// Package soak plays random faults against the program as separate processes and checks, from what callers and members see,
// that the promises of the users' platform hold. Its code is tests only; docs/PROOFS.md says how to run it.
package soak
