package server_test

import (
	"database/sql"
	"fmt"
	"net"
	"testing"
	"time"

	_ "github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakedb"
)

// TestDatabaseSQLDriverWorks uses the standard library's database/sql with prepared statements and transactions.
func TestDatabaseSQLDriverWorks(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.connect(t, 0, "probe")
	f.waitForOwner(t)
	db, err := sql.Open("pgx", fmt.Sprintf("postgres://%s@%s/%s?sslmode=prefer&application_name=desk-1",
		testCustomer, f.servers[0].CallersAddress(), testDatabase))
	require.NoError(t, err)
	defer func() { require.NoError(t, db.Close()) }()
	insert, err := db.PrepareContext(t.Context(), "INSERT INTO orders (key, value) VALUES ($1, $2)")
	require.NoError(t, err)
	defer func() { _ = insert.Close() }()
	for i := range 5 {
		tx, err := db.BeginTx(t.Context(), nil)
		require.NoError(t, err)
		_, err = tx.StmtContext(t.Context(), insert).ExecContext(t.Context(), fmt.Sprintf("k%d", i), "v")
		require.NoError(t, err)
		require.NoError(t, tx.Commit())
	}
	var count int
	require.NoError(t, db.QueryRowContext(t.Context(), "SELECT count(*) FROM orders").Scan(&count))
	require.Equal(t, 5, count)
}

// TestMemberWithOtherProtocolIsIgnored gives one member the address of a server that answers in HTTP. The other two members
// still serve writes and reads.
func TestMemberWithOtherProtocolIsIgnored(t *testing.T) {
	garbage, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = garbage.Close() })
	go func() {
		for {
			conn, err := garbage.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
			_ = conn.Close()
		}
	}()
	f := startFleet(t, 1, func(s *fakedb.Settings) {
		if s.ID == testDatabase+"-2" {
			s.Advertised = garbage.Addr().String()
		}
	})
	c := f.connect(t, 0, "desk-1")
	f.waitForOwner(t)
	for i := range 5 {
		_, err := c.Exec(t.Context(), fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('k%d', 'v')", i))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return f.members[1].Rows("orders")["k4"] == "v" }, 3*time.Second, 10*time.Millisecond)
	var value string
	require.NoError(t, c.QueryRow(t.Context(), "SELECT value FROM orders WHERE key = 'k4'").Scan(&value))
}
