// Package fault defines the typed errors of the proxy: each kind has an outcome, a SQLSTATE and a remedy.
package fault
