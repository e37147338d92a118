// Package front serves the sessions of callers. It keeps their session values and prepared statements, handles statements
// that need no member, and sends the others to the owner of the session's database.
package front
