package server_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
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

// TestReadOnlyBlocksRunOnReplicas opens blocks that the caller declares as reading only.
func TestReadOnlyBlocksRunOnReplicas(t *testing.T) {
	f := startFleet(t, 1, nil)
	c := f.connect(t, 0, "accounts")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for _, begin := range []string{"BEGIN READ ONLY", "start transaction isolation level repeatable read, read only"} {
		before := f.owner(t).Report().ReplicaReads
		_, err := c.Exec(ctx, begin, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		var count int
		require.NoError(t, c.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&count))
		_, err = c.Exec(ctx, "COMMIT", pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err)
		require.Equal(t, before+1, f.owner(t).Report().ReplicaReads, begin)
	}
	_, err := c.Exec(ctx, "BEGIN READ ONLY; INSERT INTO orders (key, value) VALUES ('k', 'x'); COMMIT", pgx.QueryExecModeSimpleProtocol)
	requireState(t, err, "25006")
}
