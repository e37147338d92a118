package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type assertT = assert.CollectT

func TestWholePath(t *testing.T) {
	f := startFleet(t, 3, nil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	writer := f.connect(t, 0, "desk-1")
	require.EventuallyWithT(t, func(c *assertT) {
		_, err := writer.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value", "o1", "v1")
		require.NoError(c, err)
	}, 10*time.Second, 100*time.Millisecond)
	for i := range 3 {
		reader := f.connect(t, i, "desk-1")
		var value string
		require.NoError(t, reader.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", "o1").Scan(&value))
		require.Equal(t, "v1", value)
	}
}
