package load_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
	"turmericpulley/io/load"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startMember starts a primary without replicas and without simulated delays.
func startMember(t *testing.T) *fakedb.Member {
	t.Helper()
	settings := fakedb.Defaults()
	settings.ConnectCost = 0
	settings.StatementTime = 0
	m, err := fakedb.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { _ = m.Close() })
	return m
}

func testSettings(m *fakedb.Member, workload load.Workload) load.Settings {
	return load.Settings{
		Addresses: []string{m.Address()}, Workload: workload, Customer: "sencnik",
		Databases: []types.DatabaseID{"orders-1"}, Rate: 400, Duration: time.Second, Sessions: 4, Connections: 2,
		WriteShare: 0.5, RequestTimeout: 5 * time.Second, Seed: 11,
	}
}

func TestRunMeasuresEveryClass(t *testing.T) {
	for _, workload := range []load.Workload{load.Orders, load.Kiosk} {
		result, err := load.Run(context.Background(), testSettings(startMember(t), workload))
		require.NoError(t, err)
		require.Empty(t, result.Findings)
		require.True(t, result.Linearizable)
		require.Positive(t, result.AcknowledgedWrites)
		require.Equal(t, result.Requests, result.AcknowledgedReads+result.AcknowledgedWrites)
		require.InDelta(t, 400, result.Requests, 100)
		for _, class := range result.Classes {
			require.Positive(t, class.Acknowledged, class.Class)
			require.Positive(t, float64(class.P99), class.Class)
		}
		require.NotEmpty(t, result.Timeline)
		require.Negative(t, result.ReplicaReadShare)
		require.Contains(t, result.Text(), "lost writes 0")
	}
}

func TestRunSendsSameRequestsForSameSeed(t *testing.T) {
	counts := func() map[load.Class]int {
		s := testSettings(startMember(t), load.Kiosk)
		s.WriteShare = 0
		result, err := load.Run(context.Background(), s)
		require.NoError(t, err)
		found := map[load.Class]int{}
		for _, class := range result.Classes {
			found[class.Class] = class.Acknowledged
		}
		return found
	}
	require.Equal(t, counts(), counts())
}

func TestRunMeasuresLatencyFromIntendedStart(t *testing.T) {
	m := startMember(t)
	s := testSettings(m, load.Kiosk)
	s.WriteShare = 0
	s.Sessions = 1
	s.Connections = 1
	const pause = 400 * time.Millisecond
	slowDown := time.AfterFunc(pause, func() { m.SetStatementTime(pause) })
	defer slowDown.Stop()
	restore := time.AfterFunc(2*pause, func() { m.SetStatementTime(0) })
	defer restore.Stop()
	result, err := load.Run(context.Background(), s)
	require.NoError(t, err)
	for _, class := range result.Classes {
		if class.Class == load.BalanceRead {
			require.Greater(t, class.P99, load.Milliseconds(pause.Milliseconds()/2))
		}
	}
}

func TestRunFailsIfMemberStopsDuringLoad(t *testing.T) {
	m := startMember(t)
	s := testSettings(m, load.Orders)
	s.RequestTimeout = 200 * time.Millisecond
	stop := time.AfterFunc(500*time.Millisecond, func() { _ = m.Close() })
	defer stop.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_, err := load.Run(ctx, s)
	require.ErrorContains(t, err, "final state")
}

func TestRunRejectsInvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*load.Settings){
		"workload":  func(s *load.Settings) { s.Workload = "nets" },
		"addresses": func(s *load.Settings) { s.Addresses = nil },
		"rate":      func(s *load.Settings) { s.Rate = 0 },
		"share":     func(s *load.Settings) { s.WriteShare = 2 },
	} {
		s := load.Settings{
			Addresses: []string{"127.0.0.1:1"}, Workload: load.Orders, Customer: "sencnik", Databases: []types.DatabaseID{"a"},
			Rate: 1, Duration: 1, Sessions: 1, Connections: 1, RequestTimeout: 1,
		}
		change(&s)
		_, err := load.Run(context.Background(), s)
		require.ErrorContains(t, err, name)
	}
}

// A client outside the load deletes a rental and increments a till while the load runs. The check has to report both, as
// it would for a database that loses a write and applies another twice.
func TestRunReportsChangesMadeOutsideTheLoad(t *testing.T) {
	m := startMember(t)
	done := make(chan error, 1)
	change := time.AfterFunc(500*time.Millisecond, func() { done <- changeRows(m.Address()) })
	defer change.Stop()
	result, err := load.Run(context.Background(), testSettings(m, load.Kiosk))
	require.NoError(t, err)
	require.NoError(t, <-done)
	require.Positive(t, result.LostWrites)
	require.Positive(t, result.DoubledWrites)
	require.False(t, result.Clean())
}

func changeRows(address string) error {
	ctx := context.Background()
	connection, err := pgx.Connect(ctx, "postgres://outsider@"+address+"/orders-1?sslmode=disable")
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close(ctx) }()
	var rental, till string
	if err := connection.QueryRow(ctx, "SELECT key FROM rentals").Scan(&rental); err != nil {
		return err
	}
	if err := connection.QueryRow(ctx, "SELECT key FROM tills").Scan(&till); err != nil {
		return err
	}
	if _, err := connection.Exec(ctx, "DELETE FROM rentals WHERE key = $1", rental); err != nil {
		return err
	}
	_, err = connection.Exec(ctx, "UPDATE tills SET value = value + $2 WHERE key = $1", till, "50")
	return err
}
