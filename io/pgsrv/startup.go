package pgsrv

import (
	"bytes"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

const (
	startupTimeout  = 10 * time.Second
	maxStartupBytes = 10000
	// maxEncryptionRequests is how many kinds of encryption a caller may request before its start-up message.
	maxEncryptionRequests = 2
)

var encryptionRefused = []byte{'N'}

// startUp performs the start-up of the protocol and reports whether the connection is ready for queries.
func (c *connection) startUp() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	m, err := c.receiveStartup()
	if err != nil {
		c.sendStartupError(err)
		return false
	}
	if m == nil {
		return false
	}
	if c.overLimit {
		c.refuseOverLimit()
		return false
	}
	if state, text := c.applyParameters(m.Parameters); state != "" {
		c.server.counters.ConnectionsRefused.Add(1)
		c.sendFatal(state, text)
		return false
	}
	if _, _, f := c.server.authorize(c.customer, c.database); f != nil {
		c.refuseStartup(f)
		return false
	}
	if !c.holder.Start(c.customer) {
		c.refuseOverLimit()
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	c.server.counters.Accepted.Add(1)
	return c.completeStartup(m) == nil
}

// receiveStartup returns the start-up message, or nil when the connection carried a cancel request.
func (c *connection) receiveStartup() (*pgproto3.StartupMessage, error) {
	for range maxEncryptionRequests + 1 {
		packet, err := c.reader.startupPacket()
		if err != nil {
			return nil, err
		}
		decoded, err := pgproto3.NewBackend(bytes.NewReader(packet), nil).ReceiveStartupMessage()
		if err != nil {
			return nil, newProtocolViolation("start-up packet cannot be decoded: %v", err)
		}
		switch m := decoded.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			c.server.handleCancel(m)
			return nil, nil
		default:
			if err := c.write(encryptionRefused); err != nil {
				return nil, err
			}
		}
	}
	return nil, newProtocolViolation("too many requests for encryption")
}

func (c *connection) sendStartupError(err error) {
	if errors.Is(err, errInterrupted) && c.server.draining.Load() {
		c.refuseStartup(fault.New(fault.Stopping, "the connection was opened while this instance was draining"))
		return
	}
	c.sendClosingError(err)
}

func (c *connection) refuseStartup(f *fault.Fault) {
	c.server.counters.ConnectionsRefused.Add(1)
	c.server.counters.Refusals.Add(f.Kind)
	var r reply
	r.addFault(severityFatal, f, "")
	c.sendLast(r)
}

// refuseOverLimit refuses a connection above the connection limit.
func (c *connection) refuseOverLimit() {
	c.server.counters.ConnectionsRefused.Add(1)
	limit := min(c.server.settings.MaxConnections, c.server.budget.Limits().Sessions)
	c.sendFatal(sqlStateTooManyConnections,
		fmt.Sprintf("not run: this instance has reached its limit of %d connections; connect to another instance", limit))
}

// applyParameters applies the start-up parameters. It returns a SQLSTATE and a message when they are invalid.
func (c *connection) applyParameters(parameters map[string]string) (state, text string) {
	p, err := parseParameters(parameters)
	if err != nil {
		return sqlStateInvalidParameter, "not run: " + err.Error()
	}
	c.customer = types.AccountID(p.user)
	c.database = types.DatabaseID(p.database)
	c.startupSettings = p.targetSettings
	c.session.startupValues = p.proxySettings
	c.session.name = types.SessionName(p.application)
	if c.session.name == "" {
		c.session.name = types.SessionName(fmt.Sprintf("connection-%08x%08x", c.key.processID, randomNumber()))
	}
	for name, value := range p.proxySettings {
		if err := c.session.assign(name, value); err != nil {
			return sqlStateInvalidParameter, "not run: " + err.Error()
		}
	}
	return "", ""
}

// completeStartup sends the messages that end the start-up: parameters, the cancel key and ReadyForQuery.
func (c *connection) completeStartup(m *pgproto3.StartupMessage) error {
	var r reply
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		r.add(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: pgproto3.ProtocolVersion30})
	}
	r.add(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", c.server.settings.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", m.Parameters[parameterApplication]},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		r.add(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	r.add(&pgproto3.BackendKeyData{ProcessID: c.key.processID, SecretKey: c.key.secret[:]})
	r.addReady(statusIdle)
	return c.write(r.data)
}
