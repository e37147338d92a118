// Package types defines the ids and units that the other packages share.
package types
