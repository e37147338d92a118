package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

const (
	// tableClientSession names the session that prepares a run and reads the final state.
	tableClientSession types.SessionName = "audit"
	// databaseTimeout bounds the preparation and the final read of one database.
	databaseTimeout = 30 * time.Second
	// databaseAttemptTimeout bounds one attempt of the same.
	databaseAttemptTimeout = 10 * time.Second
)

// tableClient prepares the databases and reads their state outside the load.
type tableClient struct {
	settings     Settings
	run          runID
	counterCount int
}

// prepare adds the counter rows of the run; rows that an earlier attempt added are left alone.
func (a tableClient) prepare(ctx context.Context) error {
	return a.forEachDatabase(ctx, func(ctx context.Context, connection *pgx.Conn, _ types.DatabaseID) error {
		return a.insertCounters(ctx, connection)
	})
}

func (a tableClient) insertCounters(ctx context.Context, connection *pgx.Conn) error {
	counters := a.settings.Workload.counterTable()
	for i := range a.counterCount {
		_, err := connection.Exec(ctx, counters.statement(audit.Insert), a.run.counterID(i), audit.Value(0).String())
		if err != nil && classifyError(err).sqlState != uniqueViolation {
			return errors.Wrapf(err, "adding a row to %s", counters)
		}
	}
	return nil
}

// readState returns the present state of the run's rows.
func (a tableClient) readState(ctx context.Context) (audit.State, error) {
	state := audit.NewState()
	err := a.forEachDatabase(ctx, func(ctx context.Context, connection *pgx.Conn, database types.DatabaseID) error {
		rows := map[audit.Key][]audit.Value{}
		for _, t := range []table{a.settings.Workload.insertTable(), a.settings.Workload.counterTable()} {
			if err := a.readTable(ctx, connection, t, rows); err != nil {
				return err
			}
		}
		for key, values := range rows {
			for _, value := range values {
				state.Set(audit.Row{Database: database, Key: key}, value)
			}
		}
		return nil
	})
	return state, err
}

func (a tableClient) readTable(ctx context.Context, connection *pgx.Conn, t table, found map[audit.Key][]audit.Value) error {
	rows, err := connection.Query(ctx, t.scanStatement(), a.run.likePattern())
	if err != nil {
		return errors.Wrapf(err, "reading table %s", t)
	}
	defer rows.Close()
	for rows.Next() {
		var id, text string
		if err := rows.Scan(&id, &text); err != nil {
			return errors.Wrapf(err, "reading a row of %s", t)
		}
		value, err := audit.ParseValue(text)
		if err != nil {
			return err
		}
		key := step{table: t, id: id}.key()
		found[key] = append(found[key], value)
	}
	return errors.Wrapf(rows.Err(), "reading table %s", t)
}

// forEachDatabase runs the work against every database until it succeeds or the time is over.
func (a tableClient) forEachDatabase(ctx context.Context, work func(context.Context, *pgx.Conn, types.DatabaseID) error) error {
	for _, database := range a.settings.Databases {
		if err := a.retryDatabase(ctx, database, work); err != nil {
			return errors.Wrapf(err, "database %s", database)
		}
	}
	return nil
}

func (a tableClient) retryDatabase(
	ctx context.Context, database types.DatabaseID, work func(context.Context, *pgx.Conn, types.DatabaseID) error,
) error {
	limited, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	pauses := newBackoff(rand.New(rand.NewPCG(a.settings.Seed, 0)))
	for i := 0; ; i++ {
		address := a.settings.Addresses[i%len(a.settings.Addresses)]
		err := a.attempt(limited, address, database, work)
		if err == nil {
			return nil
		}
		if !pauses.wait(limited) {
			return err
		}
	}
}

func (a tableClient) attempt(
	ctx context.Context, address string, database types.DatabaseID,
	work func(context.Context, *pgx.Conn, types.DatabaseID) error,
) error {
	limited, cancel := context.WithTimeout(ctx, databaseAttemptTimeout)
	defer cancel()
	id := connectParameters{customer: a.settings.Customer, database: database, session: tableClientSession, newestOnly: true}
	connection, err := connect(limited, address, id)
	if err != nil {
		return err
	}
	defer closeConnection(connection)
	return work(limited, connection, database)
}
