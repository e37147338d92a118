// Package node assembles an instance on the users' platform: it serves callers' sessions, owns databases, calls other
// instances and keeps what it has read from the store up to date.
package node
