package pgsrv

import (
	"time"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// TransactionReport describes a transaction that has ended or could not be opened.
type TransactionReport struct {
	Customer  types.AccountID
	Database  types.DatabaseID
	Session   types.SessionName
	RequestID types.RequestID
	Start     time.Time
	// Latency is the time from the first message of the caller to the end of the transaction.
	Latency time.Duration
	// Target is the member that ran the transaction, when known.
	Target types.TargetID
	// Replica is true when Target is a replica.
	Replica bool
	// Attempts is the number of attempts that the owner made, the first included.
	Attempts int
	// Fault is the fault that ended the transaction or kept it from being opened. It is nil when the target answered, when the
	// caller disconnected before a fault, and when the proxy refused a COPY.
	Fault *fault.Fault
	// Abandoned is true when the caller disconnected, or a write to it failed, while the transaction was open.
	Abandoned bool
}
