// Package pgsrv is the listener for callers: it speaks the PostgreSQL wire protocol to them and runs their statements as
// transactions on streams to the owner of the database.
//
// An idle connection costs one goroutine and no buffers. While a transaction is open, a second goroutine relays the
// owner's answers to the caller, so that the first one can notice that the caller disconnects. At most one batch of a
// connection is in flight; batches that the caller pipelines behind it wait in the read buffer and in the socket.
//
// Connections to targets return to a pool after each transaction. The proxy therefore creates no named statements on
// them. Instead, it keeps each caller's prepared statements and settings itself: it sends a Parse of the unnamed statement ahead
// of a Bind, and repeats SET statements that ran outside a transaction block at the start of each transaction. SET inside a
// block, SQL-level PREPARE, LISTEN, temporary tables and session-level advisory locks do not outlive a transaction.
//
// After the proxy has ended a transaction block, the caller sees a failed block until it sends ROLLBACK or COMMIT.
// Otherwise the remaining statements of the block would run outside the transaction.
//
// Requests for encryption are declined. COPY FROM STDIN, function calls and replication connections are refused.
//
// The process id that a caller needs for CancelRequest holds a 16-bit hash of the instance's id in its upper half and
// the connection's number in its lower half. The hash lets an instance recognise the ids that it issued itself: it handles
// cancel requests that carry its own hash and ignores all others.
package pgsrv
