package load

import (
	"context"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"turmericpulley/core/audit"
)

// querier is a connection or a transaction on it.
type querier interface {
	Exec(ctx context.Context, statement string, arguments ...any) (pgconn.CommandTag, error)
	QueryRow(ctx context.Context, statement string, arguments ...any) pgx.Row
}

// execute sends the request on the connection and returns the result of the attempt.
func execute(ctx context.Context, connection *pgx.Conn, r request) attemptResult {
	if r.transaction {
		return executeTransaction(ctx, connection, r)
	}
	values, err := executeSteps(ctx, connection, r.steps)
	result := classifyError(err)
	result.readValues = values
	return result
}

func executeTransaction(ctx context.Context, connection *pgx.Conn, r request) attemptResult {
	options := pgx.TxOptions{}
	if !r.isWrite() {
		options.AccessMode = pgx.ReadOnly
	}
	tx, err := connection.BeginTx(ctx, options)
	if err != nil {
		return classifyBeforeCommit(err)
	}
	values, err := executeSteps(ctx, tx, r.steps)
	if err != nil {
		result := classifyBeforeCommit(err)
		if rollbackErr := tx.Rollback(ctx); rollbackErr != nil {
			result.connectionBroken = true
		}
		return result
	}
	result := classifyError(tx.Commit(ctx))
	result.readValues = values
	return result
}

// executeSteps runs the statements in order and returns the values that the reads found.
func executeSteps(ctx context.Context, q querier, steps []step) ([]audit.Value, error) {
	var values []audit.Value
	for _, s := range steps {
		if s.kind == audit.Read {
			value, err := readStep(ctx, q, s)
			if err != nil {
				return values, err
			}
			values = append(values, value)
			continue
		}
		tag, err := q.Exec(ctx, s.table.statement(s.kind), s.id, s.value.String())
		if err != nil {
			return values, errors.Wrapf(err, "writing %s", s.key())
		}
		if tag.RowsAffected() == 0 {
			return values, errors.Wrapf(errNoRow, "writing %s", s.key())
		}
	}
	return values, nil
}

// readStep returns the value of the row, or zero if the row is missing.
func readStep(ctx context.Context, q querier, s step) (audit.Value, error) {
	var text string
	err := q.QueryRow(ctx, s.table.statement(s.kind), s.id).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "reading %s", s.key())
	}
	return audit.ParseValue(text)
}
