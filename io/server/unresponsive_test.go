package server_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replacementLimit is the time within which a request on an unresponsive connection must end.
const replacementLimit = 3 * time.Second

// TestUnresponsiveConnectionsAreReplaced stops all traffic on the open connections to the members while new connections
// work. Every request must end within replacementLimit, and later ones succeed.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	conn := f.connect(t, 0, "desk-1")
	_, err := conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ('before', 'x')")
	require.NoError(t, err)
	var value string
	require.NoError(t, conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = 'before'").Scan(&value))
	for _, l := range f.links {
		l.BlackholeOpenConns()
	}
	start := time.Now()
	for i := range 20 {
		sentAt := time.Now()
		err := conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = 'before'").Scan(&value)
		require.Less(t, time.Since(sentAt), replacementLimit, "read %d", i)
		if err != nil {
			t.Logf("read %d after %v: %v", i, time.Since(sentAt), err)
		}
	}
	for i := range 20 {
		sentAt := time.Now()
		_, err := conn.Exec(ctx, fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('after%d', 'x')", i))
		require.Less(t, time.Since(sentAt), replacementLimit, "write %d", i)
		if err != nil {
			t.Logf("write %d after %v: %v", i, time.Since(sentAt), err)
		}
	}
	t.Logf("all answered after %v", time.Since(start))
	_, err = conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ('last', 'x')")
	require.NoError(t, err)
}
