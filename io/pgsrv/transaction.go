package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// TransactionReport describes a finished transaction.
type TransactionReport struct {
	Customer  types.CustomerID
	Database  types.DatabaseID
	Session   types.SessionName
	RequestID types.RequestID
	Start     time.Time
	// Latency is the time from the caller's first message to the end of the transaction.
	Latency time.Duration
	// Target is the member that ran the transaction, when known.
	Target   types.TargetID
	Replica  bool
	Attempts int
	// Fault is the error that the proxy made of the transaction, or nil when the target answered it.
	Fault *fault.Fault
	// Abandoned reports that the caller disconnected while the transaction was open.
	Abandoned bool
}
