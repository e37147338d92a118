// Package fakepl is a stand-in for the users' platform: its store, its call to promote, and database members that speak
// lines, with asynchronous replication. It serves tests without the users' bench and writes the formats of the
// platform's pages by itself, so that a misreading in package platform shows.
package fakepl
