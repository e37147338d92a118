// Package store is the client of the platform's key-value service and instance list.
package store
