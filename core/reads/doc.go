// Package reads tracks the log position that each session has seen, so that no later read of the session shows an older state.
package reads
