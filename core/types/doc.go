// Package types holds the named ids and units that every other package shares.
package types
