// Package fakedb is a stand-in for one member of a database. It serves tables in memory over the PostgreSQL wire protocol
// and has asynchronous replication, terms, epochs and the control functions of the platform's members.
package fakedb
