// Package store is a client of the platform's key-value service and of its list of instances and targets.
package store
