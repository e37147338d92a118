package pgsrv

import "fmt"

// violation is a breach of the wire protocol by a caller.
type violation struct {
	detail string
}

func newViolation(format string, args ...any) *violation {
	return &violation{detail: fmt.Sprintf(format, args...)}
}

// Error returns what the caller sent wrongly.
func (v *violation) Error() string { return v.detail }
