// Package pgsrv is the callers' listener: it speaks the PostgreSQL wire protocol to callers and turns what they send
// into transactions on streams to the owner of the database.
//
// A connection that waits for its caller costs one goroutine and no buffers. While a transaction is open, a second
// goroutine relays the owner's answers, so that the first one notices a caller that disconnects. At most one batch of a
// connection is in flight; a batch that the caller pipelines behind it waits in the socket.
//
// Targets are pooled between transactions and keep no named statements. The connection keeps its caller's prepared
// statements and settings: a Bind is preceded by a Parse of the unnamed statement, and SET statements that ran outside of
// a transaction block are repeated for each transaction. SET inside a block, SQL-level PREPARE, LISTEN, temporary tables
// and session-level advisory locks do not outlive a transaction.
//
// A transaction block that the proxy ends stays failed for the caller until it sends ROLLBACK or COMMIT, so that no
// later statement of the block runs by itself.
//
// Encryption is declined, and COPY FROM STDIN, function calls and replication connections are refused.
//
// The process id that a caller gets for CancelRequest holds a 16-bit hash of the instance's id in its upper half and
// the number of the connection in its lower half, so that any instance can tell which one issued it. An instance serves
// the requests that carry its own hash and ignores the others.
package pgsrv
