// Package server assembles an instance from the callers' listener, the peer service, the ownerships of databases and the HTTP
// listener.
package server
