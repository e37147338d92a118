// Package stmt defines the statements of callers' sessions and the replies to them, independent of the wire format.
package stmt
