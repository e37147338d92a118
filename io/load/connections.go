package load

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
)

const (
	connectTimeout = 3 * time.Second
	closeTimeout   = time.Second
)

// connectParameters holds the start-up parameters of a connection and how it sends statements.
type connectParameters struct {
	customer types.AccountID
	database types.DatabaseID
	session  types.SessionName
	// newestOnly asks that every read shows the newest data.
	newestOnly bool
	// prepared makes the connection prepare each statement before its first use.
	prepared bool
}

// connections holds the connections of one caller, one for each instance that it has used.
type connections struct {
	parameters connectParameters
	byAddress  map[string]*pgx.Conn
}

func newConnections(parameters connectParameters) *connections {
	return &connections{parameters: parameters, byAddress: map[string]*pgx.Conn{}}
}

// get returns the open connection to the address, or opens one if there is none.
func (c *connections) get(ctx context.Context, address string) (*pgx.Conn, error) {
	if open := c.byAddress[address]; open != nil && !open.IsClosed() {
		return open, nil
	}
	connection, err := connect(ctx, address, c.parameters)
	if err != nil {
		return nil, err
	}
	c.byAddress[address] = connection
	return connection, nil
}

// drop closes and removes the connection to the address.
func (c *connections) drop(address string) {
	if open := c.byAddress[address]; open != nil {
		closeConnection(open)
		delete(c.byAddress, address)
	}
}

// close closes every connection.
func (c *connections) close() {
	for address := range c.byAddress {
		c.drop(address)
	}
}

// connect opens a connection to an instance, or directly to a member in runs without instances.
func connect(ctx context.Context, address string, parameters connectParameters) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q must be HOST:PORT", address)
	}
	config, err := pgx.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, errors.Wrap(err, "building the connection settings")
	}
	config.User = string(parameters.customer)
	config.Database = string(parameters.database)
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams["pulley.session"] = string(parameters.session)
	if !parameters.prepared {
		config.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	if parameters.newestOnly {
		config.RuntimeParams["pulley.max_read_age"] = "0s"
	}
	connection, err := pgx.ConnectConfig(ctx, config)
	return connection, errors.Wrapf(err, "connecting to %s", address)
}

func closeConnection(connection *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = connection.Close(ctx)
}
