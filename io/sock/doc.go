// Package sock queries and sets socket options of connections that the standard library does not offer.
package sock
