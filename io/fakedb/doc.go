// Package fakedb is a stand-in for one member of a database: tables in memory behind the PostgreSQL wire protocol, with
// asynchronous replication, terms, epochs and the control functions of the platform's members.
package fakedb
