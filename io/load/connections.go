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

// connectParameters is what a caller says about itself at start-up.
type connectParameters struct {
	customer types.CustomerID
	database types.DatabaseID
	session  types.SessionName
	// newestOnly asks for the newest data only.
	newestOnly bool
	// prepared lets the connection prepare statements.
	prepared bool
}

// connections holds a caller's connections, one for each instance that it has used.
type connections struct {
	parameters connectParameters
	byAddress  map[string]*pgx.Conn
}

func newConnections(id connectParameters) *connections {
	return &connections{parameters: id, byAddress: map[string]*pgx.Conn{}}
}

// get returns the open connection to the address or opens one.
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

// drop closes the connection to the address.
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

// connect opens a connection to an instance, or to a member for runs without instances.
func connect(ctx context.Context, address string, id connectParameters) (*pgx.Conn, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q must be HOST:PORT", address)
	}
	config, err := pgx.ParseConfig("sslmode=disable host=" + host + " port=" + port)
	if err != nil {
		return nil, errors.Wrap(err, "preparing a connection")
	}
	config.User = string(id.customer)
	config.Database = string(id.database)
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams["pulley.session"] = string(id.session)
	if !id.prepared {
		config.DefaultQueryExecMode = pgx.QueryExecModeExec
	}
	if id.newestOnly {
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
