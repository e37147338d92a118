package pgsrv

import "fmt"

// protocolViolation is a breach of the wire protocol by a caller.
type protocolViolation struct {
	detail string
}

func newProtocolViolation(format string, args ...any) *protocolViolation {
	return &protocolViolation{detail: fmt.Sprintf(format, args...)}
}

// Error returns what the caller sent wrongly.
func (v *protocolViolation) Error() string { return v.detail }
