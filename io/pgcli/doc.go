// Package pgcli implements connections from an instance to targets over the PostgreSQL wire protocol.
package pgcli
