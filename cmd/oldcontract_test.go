package cmd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"turmericpulley/core/policy"
	"turmericpulley/core/types"
	"turmericpulley/io/check"
)

const (
	// requestDuration is how long requests are sent after a change was accepted. It is longer than an instance may use an
	// old contract without a confirmation.
	requestDuration = 3 * time.Second
	// recoveryTimeout bounds the wait until a fleet whose faults have ended works again.
	recoveryTimeout = 40 * time.Second
	// pollInterval is the pause between two checks of a fleet.
	pollInterval = 50 * time.Millisecond
)

// requireNoOldContractServed applies in turn a contract that allows the only group and one that forbids it. Once the second
// is accepted, requests at every instance must be refused. beginFailure causes a failure before each change that forbids the
// group; endFailure is called once the change is accepted, and ends the failure.
func requireNoOldContractServed(t *testing.T, rounds int, beginFailure, endFailure func(f *check.Fleet)) {
	t.Helper()
	f := check.NewFleet(t, check.DefaultLayout())
	allowed := check.NewContract(check.Customer, "orders-db")
	forbidden := allowed
	forbidden.Groups = []types.GroupID{"no-such-group"}
	for range rounds {
		applyContract(t, f, allowed)
		connections := make([]*pgx.Conn, 0, len(f.Instances))
		for _, instance := range f.Instances {
			connections = append(connections, connect(t, instance, f.Databases()[0]))
		}
		beginFailure(f)
		applyContract(t, f, forbidden)
		endFailure(f)
		requireRefused(t, f, connections)
		for _, connection := range connections {
			_ = connection.Close(context.Background())
		}
	}
}

func applyContract(t *testing.T, f *check.Fleet, contract policy.Contract) {
	t.Helper()
	document, err := json.Marshal(contract)
	require.NoError(t, err)
	result := execute("contract", "apply", writeFile(t, string(document)), "--timeout=8s", "--platform=http://"+f.Platform.DirectAddress)
	require.Equal(t, 0, result.code, result.out+result.errOut)
}

// connect opens a connection and waits until a statement on it succeeds.
func connect(t *testing.T, instance *check.Instance, database types.DatabaseID) *pgx.Conn {
	t.Helper()
	var connection *pgx.Conn
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		if connection, err = pgx.Connect(ctx, addressOf(instance, database)); err != nil {
			return false
		}
		_, err = connection.Exec(ctx, "INSERT INTO orders (key, value) VALUES ('k', 'v') ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value")
		return err == nil
	}, recoveryTimeout, pollInterval)
	return connection
}

// requireRefused sends requests to all instances concurrently and requires that all are refused. It uses the open
// connections, and new ones after those were closed.
func requireRefused(t *testing.T, f *check.Fleet, connections []*pgx.Conn) {
	t.Helper()
	served := make([]int, len(connections))
	refused := make([]int, len(connections))
	deadline := time.Now().Add(requestDuration)
	var group sync.WaitGroup
	for index := range connections {
		group.Go(func() {
			for time.Now().Before(deadline) {
				if readRow(&connections[index], f.Instances[index], f.Databases()[0]) == nil {
					served[index]++
				} else {
					refused[index]++
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	group.Wait()
	require.Equal(t, make([]int, len(connections)), served, "requests served under the old contract at each instance")
	require.NotContains(t, refused, 0)
}

// readRow reads a row; it replaces a closed connection by a new one first.
func readRow(connection **pgx.Conn, instance *check.Instance, database types.DatabaseID) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestDuration)
	defer cancel()
	if (*connection).IsClosed() {
		renewed, err := pgx.Connect(ctx, addressOf(instance, database))
		if err != nil {
			return err
		}
		*connection = renewed
	}
	_, err := (*connection).Exec(ctx, "SELECT value FROM orders WHERE key = 'k'")
	return err
}

func addressOf(instance *check.Instance, database types.DatabaseID) string {
	return fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", check.Customer, instance.DirectCallersAddress(), database)
}

func TestAcceptedContractIsInForceAtOnce(t *testing.T) {
	t.Parallel()
	noFailure := func(*check.Fleet) {}
	requireNoOldContractServed(t, 2, noFailure, noFailure)
}

func TestAcceptedContractIsInForceAtOwnerPausedMeanwhile(t *testing.T) {
	t.Parallel()
	var owner *check.Instance
	requireNoOldContractServed(t, 2,
		func(f *check.Fleet) {
			owner = f.Owner(0)
			owner.Pause()
		},
		func(*check.Fleet) { owner.Resume() })
}

func TestAcceptedContractIsInForceAtOwnerThatWasCutOff(t *testing.T) {
	t.Parallel()
	requireNoOldContractServed(t, 2,
		func(f *check.Fleet) {
			owner := f.Owner(0)
			owner.CutPeers(f.Instances)
			owner.PlatformLink.CutBoth()
		},
		func(f *check.Fleet) {
			// Half of the requests come while the owner is still cut off, the others after that.
			time.AfterFunc(requestDuration/2, func() {
				f.HealPeers()
				f.HealPlatform()
			})
		})
}
