// Package demo runs the whole system in one process, kills a primary under load and reports what the callers saw.
package demo
