package check

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// AllCustomers is the entry of Peaks that counts all customers together.
const AllCustomers types.CustomerID = "*"

// Peak is the highest use that a customer made of a member.
type Peak struct {
	Connections int
	Statements  int
}

// Peaks asks the member for the highest use by each customer since its start.
func (m *Member) Peaks() (map[types.CustomerID]Peak, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	connection, err := pgx.Connect(ctx, m.directURL())
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", m.Target)
	}
	defer func() { _ = connection.Close(ctx) }()
	rows, err := connection.Query(ctx, "SELECT * FROM pulley_standin_peaks()", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return nil, errors.Wrapf(err, "asking %s", m.Target)
	}
	peaks := map[types.CustomerID]Peak{}
	var customer, connections, statements string
	_, err = pgx.ForEachRow(rows, []any{&customer, &connections, &statements}, func() error {
		peak, err := newPeak(connections, statements)
		peaks[types.CustomerID(customer)] = peak
		return err
	})
	return peaks, errors.Wrapf(err, "asking %s", m.Target)
}

func newPeak(connections, statements string) (Peak, error) {
	c, err := strconv.Atoi(connections)
	if err != nil {
		return Peak{}, errors.Wrap(err, "reading a peak of connections")
	}
	s, err := strconv.Atoi(statements)
	return Peak{Connections: c, Statements: s}, errors.Wrap(err, "reading a peak of statements")
}

// directURL returns where the member itself is reached, past every link.
func (m *Member) directURL() string {
	return "postgres://check@" + m.DirectAddress + "/check?sslmode=disable"
}
