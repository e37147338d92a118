// Package node assembles an instance on the users' platform: callers' sessions, the databases that it owns, the links
// to other instances, and what it reads from the store.
package node
