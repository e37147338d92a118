// Package sock does what the standard library does not offer on a connection's socket: it checks whether the connection is
// open and idle, and sets TCP_USER_TIMEOUT.
package sock
