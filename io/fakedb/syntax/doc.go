// Package syntax parses the subset of SQL that the member stand-in supports.
package syntax
