// Package stmt holds the statements of callers' sessions and their answers, apart from any wire format.
package stmt
