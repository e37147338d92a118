// Package check runs the program as separate processes for integration tests, with fault-injecting links between them.
package check
