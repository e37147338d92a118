// Package sock does what the standard library does not offer on a connection's socket: it checks whether the connection is
// open and idle, sets TCP_USER_TIMEOUT and the sizes of buffers, and bounds the connections of a listener.
package sock
