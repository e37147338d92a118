package server_test

import (
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/fakedb"
)

// BenchmarkStatement reads through the instance that owns the database, and through one that does not own it.
func BenchmarkStatement(b *testing.B) {
	f := startFleet(b, 2, func(s *fakedb.Settings) {
		s.Slots = 64
		s.StatementTime = 0
	})
	f.waitForOwner(b)
	instances := map[string]int{}
	for i, s := range f.servers {
		name := "another"
		if s == f.owner(b) {
			name = "owner"
		}
		instances[name] = i
	}
	for name, instance := range instances {
		b.Run(name, func(b *testing.B) {
			next := 0
			conns := make(chan *pgx.Conn, 16)
			for range cap(conns) {
				next++
				conns <- f.connect(b, instance, fmt.Sprintf("s%d", next))
			}
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				c := <-conns
				for p.Next() {
					_, err := c.Exec(b.Context(), "SELECT value FROM orders WHERE key = 'k'", pgx.QueryExecModeSimpleProtocol)
					require.NoError(b, err)
				}
			})
		})
	}
}
