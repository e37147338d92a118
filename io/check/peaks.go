package check

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

// AllCustomers is the key in the result of Peaks under which all customers are counted together.
const AllCustomers types.AccountID = "*"

// Peak is the largest number of connections and of concurrent statements that a customer had at a member.
type Peak struct {
	Connections int
	Statements  int
}

// Peaks returns the peak usage of the member by each customer since the member started.
func (m *Member) Peaks() (map[types.AccountID]Peak, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	connection, err := pgx.Connect(ctx, m.directURL())
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", m.Target)
	}
	defer func() { _ = connection.Close(ctx) }()
	rows, err := connection.Query(ctx, "SELECT * FROM pulley_standin_peaks()", pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return nil, errors.Wrapf(err, "querying the peaks of %s", m.Target)
	}
	peaks := map[types.AccountID]Peak{}
	var customer, connections, statements string
	_, err = pgx.ForEachRow(rows, []any{&customer, &connections, &statements}, func() error {
		peak, err := newPeak(connections, statements)
		peaks[types.AccountID(customer)] = peak
		return err
	})
	return peaks, errors.Wrapf(err, "querying the peaks of %s", m.Target)
}

func newPeak(connections, statements string) (Peak, error) {
	c, err := strconv.Atoi(connections)
	if err != nil {
		return Peak{}, errors.Wrap(err, "parsing the peak number of connections")
	}
	s, err := strconv.Atoi(statements)
	return Peak{Connections: c, Statements: s}, errors.Wrap(err, "parsing the peak number of statements")
}

// directURL returns the URL of a direct connection to the member, without a link.
func (m *Member) directURL() string {
	return "postgres://check@" + m.DirectAddress + "/check?sslmode=disable"
}
