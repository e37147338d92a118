package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// TransactionReport describes a transaction that has ended or could not be opened.
type TransactionReport struct {
	Customer  types.CustomerID
	Database  types.DatabaseID
	Session   types.SessionName
	RequestID types.RequestID
	Start     time.Time
	// Latency is the time from the first message of the caller to the end of the transaction.
	Latency time.Duration
	// Target is the member that ran the transaction, when known.
	Target   types.TargetID
	Replica  bool
	Attempts int
	// Fault is the error with which the proxy ended the transaction, or nil when the target answered.
	Fault *fault.Fault
	// Abandoned is true when the caller disconnected while the transaction was open.
	Abandoned bool
}
