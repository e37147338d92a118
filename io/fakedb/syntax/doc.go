// Package syntax matches the few forms of SQL that the member stand-in understands.
package syntax
