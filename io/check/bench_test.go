package check_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/check"
)

// BenchmarkPath compares statements through an instance with statements on a direct connection to the primary. Statements
// through the owner need no hop between instances; those through another instance need one.
func BenchmarkPath(b *testing.B) {
	layout := check.DefaultLayout()
	layout.StatementTime = 0
	layout.ConnectCost = 0
	f := check.NewFleet(b, layout)
	owner := f.Owner(0)
	addresses := []struct{ name, address string }{
		{"direct", f.Members[0][0].DirectAddress},
		{"owner", owner.DirectCallersAddress()},
		{"other", f.Others(owner)[0].DirectCallersAddress()},
	}
	statements := []struct{ name, statement string }{
		{"write", "INSERT INTO bench (key, value) VALUES ('a', '1') ON CONFLICT (key) DO UPDATE SET value = excluded.value"},
		{"read", "SELECT value FROM bench WHERE key = 'a'"},
	}
	for _, s := range statements {
		for _, a := range addresses {
			b.Run(s.name+"/"+a.name, func(b *testing.B) { measurePath(b, f, a.address, s.statement) })
		}
	}
}

func measurePath(b *testing.B, f *check.Fleet, address, statement string) {
	b.Helper()
	ctx := context.Background()
	url := "postgres://" + string(check.Customer) + "@" + address + "/" + string(f.Databases()[0]) + "?sslmode=disable"
	connection, err := pgx.Connect(ctx, url)
	require.NoError(b, err)
	defer func() { _ = connection.Close(ctx) }()
	latencies := make([]time.Duration, 0, b.N)
	for b.Loop() {
		start := time.Now()
		_, err := connection.Exec(ctx, statement)
		latencies = append(latencies, time.Since(start))
		require.NoError(b, err)
	}
	slices.Sort(latencies)
	b.ReportMetric(microseconds(latencies[len(latencies)/2]), "p50-µs")
	b.ReportMetric(microseconds(latencies[len(latencies)*99/100]), "p99-µs")
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }
