package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/retry"
)

// TestRetriesAreAShareOfRequests spends a budget as fast as it allows.
func TestRetriesAreAShareOfRequests(t *testing.T) {
	b := retry.NewBudget()
	burst := 0
	for b.AllowRetry() {
		burst++
	}
	retries := 0
	for range 10_000 {
		b.RecordRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	require.Equal(t, 50, burst)
	require.InDelta(t, 1000, retries, 5)
}
