// Package group serves one database on the instance that owns it. It holds the connections to the members, which are the
// primary and its replicas, runs the statements of all sessions on them, monitors them and replaces the primary.
package group
