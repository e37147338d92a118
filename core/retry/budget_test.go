package retry_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"turmericpulley/core/retry"
)

// TestRetriesAreBoundedByShareOfRequests takes all retries that the budget allows.
func TestRetriesAreBoundedByShareOfRequests(t *testing.T) {
	budget := retry.NewBudget()
	burst := 0
	for budget.AllowRetry() {
		burst++
	}
	retries := 0
	for range 10_000 {
		budget.RecordRequest()
		if budget.AllowRetry() {
			retries++
		}
	}
	require.Equal(t, 50, burst)
	require.InDelta(t, 1000, retries, 5)
}
