package pgsrv

import "fmt"

// protocolViolation is an error for a caller that violates the wire protocol.
type protocolViolation struct {
	detail string
}

func newProtocolViolation(format string, args ...any) *protocolViolation {
	return &protocolViolation{detail: fmt.Sprintf(format, args...)}
}

// Error returns the description of the violation.
func (v *protocolViolation) Error() string { return v.detail }
