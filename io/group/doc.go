// Package group is the owner of one database: it holds all connections to the members, runs the statements of all
// sessions on them, watches the members and replaces the primary.
package group
