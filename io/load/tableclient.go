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
	// tableClientSession is the session name of the connections that prepare a run and read the state of its rows.
	tableClientSession types.SessionName = "audit"
	// databaseTimeout bounds the preparation of one database, and each reading of its state.
	databaseTimeout = 30 * time.Second
	// databaseAttemptTimeout bounds one attempt to prepare a database or to read its state.
	databaseAttemptTimeout = 10 * time.Second
)

// tableClient prepares the tables of a run and reads their rows before and after the load.
type tableClient struct {
	settings     Settings
	run          runID
	counterCount int
}

// prepare inserts the counter rows of the run; rows that an earlier attempt inserted stay as they are.
func (c tableClient) prepare(ctx context.Context) error {
	return c.forEachDatabase(ctx, func(ctx context.Context, connection *pgx.Conn, _ types.DatabaseID) error {
		return c.insertCounters(ctx, connection)
	})
}

func (c tableClient) insertCounters(ctx context.Context, connection *pgx.Conn) error {
	counters := c.settings.Workload.counterTable()
	for i := range c.counterCount {
		_, err := connection.Exec(ctx, counters.statement(audit.Insert), c.run.counterID(i), audit.Value(0).String())
		if err != nil && classifyError(err).sqlState != uniqueViolation {
			return errors.Wrapf(err, "inserting a row into %s", counters)
		}
	}
	return nil
}

// readState returns the current state of the run's rows.
func (c tableClient) readState(ctx context.Context) (audit.State, error) {
	state := audit.NewState()
	err := c.forEachDatabase(ctx, func(ctx context.Context, connection *pgx.Conn, database types.DatabaseID) error {
		rows := map[audit.Key][]audit.Value{}
		for _, t := range []table{c.settings.Workload.insertTable(), c.settings.Workload.counterTable()} {
			if err := c.readTable(ctx, connection, t, rows); err != nil {
				return err
			}
		}
		for key, values := range rows {
			for _, value := range values {
				state.AddRow(audit.Row{Database: database, Key: key}, value)
			}
		}
		return nil
	})
	return state, err
}

func (c tableClient) readTable(ctx context.Context, connection *pgx.Conn, t table, found map[audit.Key][]audit.Value) error {
	rows, err := connection.Query(ctx, t.scanStatement(), c.run.likePattern())
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

// forEachDatabase calls the function for every database and retries each call until it succeeds or times out.
func (c tableClient) forEachDatabase(ctx context.Context, call func(context.Context, *pgx.Conn, types.DatabaseID) error) error {
	for _, database := range c.settings.Databases {
		if err := c.retryDatabase(ctx, database, call); err != nil {
			return errors.Wrapf(err, "database %s", database)
		}
	}
	return nil
}

func (c tableClient) retryDatabase(
	ctx context.Context, database types.DatabaseID, call func(context.Context, *pgx.Conn, types.DatabaseID) error,
) error {
	limited, cancel := context.WithTimeout(ctx, databaseTimeout)
	defer cancel()
	retryBackoff := newBackoff(rand.New(rand.NewPCG(c.settings.Seed, 0)))
	for i := 0; ; i++ {
		address := c.settings.Addresses[i%len(c.settings.Addresses)]
		err := c.attempt(limited, address, database, call)
		if err == nil {
			return nil
		}
		if !retryBackoff.wait(limited) {
			return err
		}
	}
}

func (c tableClient) attempt(
	ctx context.Context, address string, database types.DatabaseID,
	call func(context.Context, *pgx.Conn, types.DatabaseID) error,
) error {
	limited, cancel := context.WithTimeout(ctx, databaseAttemptTimeout)
	defer cancel()
	parameters := connectParameters{customer: c.settings.Customer, database: database, session: tableClientSession, newestOnly: true}
	connection, err := connect(limited, address, parameters)
	if err != nil {
		return err
	}
	defer closeConnection(connection)
	return call(limited, connection, database)
}
