// Package pgsrv is the listener for callers: it speaks the PostgreSQL wire protocol to them and runs their statements as
// transactions on streams to the owner of the database.
//
// An idle connection costs one goroutine and no buffers. While a transaction is open, a second goroutine relays the
// owner's answers to the caller, so that the first one can notice that the caller disconnects. At most one batch of a
// connection is in flight; a batch that the caller pipelines behind it waits in the socket.
//
// Connections to targets are pooled between transactions, so that no named statement is created on them. The proxy keeps
// each caller's prepared statements and settings instead: it sends a Parse of the unnamed statement ahead of a Bind, and
// repeats SET statements that ran outside a transaction block at the start of each transaction. SET inside a block,
// SQL-level PREPARE, LISTEN, temporary tables and session-level advisory locks do not outlive a transaction.
//
// After the proxy has ended a transaction block, the caller sees a failed block until it sends ROLLBACK or COMMIT.
// Otherwise the remaining statements of the block would run outside the transaction.
//
// Requests for encryption are declined. COPY FROM STDIN, function calls and replication connections are refused.
//
// The process id that a caller needs for CancelRequest holds a 16-bit hash of the instance's id in its upper half and
// the connection's number in its lower half, so that every instance can tell which one issued it. An instance handles
// cancel requests that carry its own hash and ignores all others.
package pgsrv
