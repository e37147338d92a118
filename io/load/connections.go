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

// identity is what a caller says about itself at start-up.
type identity struct {
	customer types.CustomerID
	database types.DatabaseID
	session  types.SessionName
	// fresh asks for the newest data only.
	fresh bool
	// prepared lets the connection prepare statements.
	prepared bool
}

// connections holds a caller's connections, one for each instance that it has used.
type connections struct {
	identity identity
	byHost   map[string]*pgx.Conn
}

func newConnections(id identity) *connections {
	return &connections{identity: id, byHost: map[string]*pgx.Conn{}}
}

// get returns the open connection to the address or opens one.
func (c *connections) get(ctx context.Context, address string) (*pgx.Conn, error) {
	if open := c.byHost[address]; open != nil && !open.IsClosed() {
		return open, nil
	}
	connection, err := connect(ctx, address, c.identity)
	if err != nil {
		return nil, err
	}
	c.byHost[address] = connection
	return connection, nil
}

// drop closes the connection to the address.
func (c *connections) drop(address string) {
	if open := c.byHost[address]; open != nil {
		closeConnection(open)
		delete(c.byHost, address)
	}
}

// close closes every connection.
func (c *connections) close() {
	for address := range c.byHost {
		c.drop(address)
	}
}

// connect opens a connection to an instance, or to a member for runs without instances.
func connect(ctx context.Context, address string, id identity) (*pgx.Conn, error) {
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
	if id.fresh {
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
