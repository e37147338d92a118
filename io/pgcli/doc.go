// Package pgcli holds connections from an instance to targets in the PostgreSQL wire protocol.
package pgcli
