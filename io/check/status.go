package check

import (
	"context"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	statusTimeout = 2 * time.Second
	primaryRole   = "primary"
)

// Status is the status that a member reports.
type Status struct {
	Role     string
	Term     types.Term
	Epoch    types.Epoch
	Position types.Position
	// Discarded is the number of log entries that the member removed because the log of its primary does not have them.
	Discarded int
}

// Status queries the member's status on a direct connection, without a link.
func (m *Member) Status() (Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	connection, err := pgx.Connect(ctx, m.directURL())
	if err != nil {
		return Status{}, errors.Wrapf(err, "connecting to %s", m.Target)
	}
	defer func() { _ = connection.Close(ctx) }()
	rows, err := connection.Query(ctx, "SELECT * FROM pulley_status()", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return Status{}, errors.Wrapf(err, "querying the status of %s", m.Target)
	}
	values, err := pgx.CollectExactlyOneRow(rows, pgx.RowToMap)
	if err != nil {
		return Status{}, errors.Wrapf(err, "querying the status of %s", m.Target)
	}
	return newStatus(values), nil
}

func newStatus(values map[string]any) Status {
	text := func(name string) string {
		value, _ := values[name].(string)
		return value
	}
	number := func(name string) uint64 {
		value, _ := strconv.ParseUint(text(name), 10, 64)
		return value
	}
	return Status{
		Role: text("role"), Term: types.Term(number("term")), Epoch: types.Epoch(number("epoch")),
		Position: types.Position(number("position")), Discarded: int(number("discarded")),
	}
}

// Primary returns the member that reports itself as the database's primary with the highest term, or nil if none does.
func (f *Fleet) Primary(database int) *Member {
	var primary *Member
	var term types.Term
	for _, m := range f.Members[database] {
		status, err := m.Status()
		if err == nil && status.Role == primaryRole && status.Term > term {
			primary = m
			term = status.Term
		}
	}
	return primary
}
