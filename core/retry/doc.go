// Package retry bounds the extra load that retries may cause.
package retry
