// Package pause waits for a time unless a context ends it early, and computes exponential backoff.
package pause
