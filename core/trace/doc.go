// Package trace remembers what happened to recent requests, so that an operator can have one explained.
package trace
