// Package trace records what happened to recent requests, so that an operator can look one up.
package trace
