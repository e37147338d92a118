// Package demo runs the whole system in one process, kills a primary under load and reports the results of the callers.
package demo
