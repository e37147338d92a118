package demo_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"turmericpulley/io/demo"
)

func TestRunKillsPrimaryAndFindsNoViolation(t *testing.T) {
	var out bytes.Buffer
	summary, err := demo.Run(context.Background(), demo.Settings{Duration: 4 * time.Second, Seed: 3, Out: &out})
	require.NoError(t, err, out.String())
	require.True(t, summary.Clean(), out.String())
	require.Positive(t, summary.AcknowledgedWrites)
	require.Positive(t, float64(summary.FailoverGap))
	require.Contains(t, out.String(), "killing orders-db-1-a")
}
