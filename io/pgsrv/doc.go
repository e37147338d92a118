// Package pgsrv is the callers' listener: it speaks the PostgreSQL wire protocol to callers and turns what they send
// into transactions on streams to the owner of the database.
//
// A connection that waits for its caller costs one goroutine and no buffers. While a transaction is open, a second
// goroutine relays the owner's answers, so that the first one notices a caller that disconnects. At most one batch of a
// connection is in flight; a batch that the caller pipelines behind it waits in the socket.
//
// The process id that a caller gets for CancelRequest holds a 16-bit hash of the instance's id in its upper half and
// the number of the connection in its lower half, so that any instance can tell which one issued it. An instance serves
// the requests that carry its own hash and ignores the others.
package pgsrv
