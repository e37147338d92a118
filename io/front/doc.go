// Package front serves the sessions of callers: it keeps their values and prepared statements, answers what needs no
// member, and sends the rest to the owner of the session's database.
package front
