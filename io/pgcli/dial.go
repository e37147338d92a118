package pgcli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"turmericpulley/core/types"
	"turmericpulley/io/sock"
)

// Dial connects to a target, performs the start-up and waits for ReadyForQuery.
func Dial(ctx context.Context, s Settings) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	netConn, err := d.DialContext(ctx, "tcp", s.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to target %s", s.Address)
	}
	sock.SetUserTimeout(netConn, unacknowledgedTimeout)
	stop := context.AfterFunc(ctx, func() { _ = netConn.SetDeadline(time.Unix(1, 0)) })
	c := &Conn{netConn: netConn, reader: bufio.NewReaderSize(netConn, readBufferBytes), address: s.Address}
	if err := c.startUp(s); err != nil {
		stop()
		_ = netConn.Close()
		return nil, errors.Wrapf(err, "starting up at target %s", s.Address)
	}
	if !stop() {
		_ = netConn.Close()
		return nil, errors.Wrapf(ctx.Err(), "starting up at target %s", s.Address)
	}
	return c, nil
}

func (c *Conn) startUp(s Settings) error {
	startup := pgproto3.StartupMessage{
		ProtocolVersion: protocolVersion3,
		Parameters:      map[string]string{"user": userName, "database": string(s.Database)},
	}
	if s.Epoch != 0 {
		startup.Parameters[epochParameter] = s.Epoch.String()
	}
	payload, err := startup.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encoding the start-up message")
	}
	if err := c.Send(payload); err != nil {
		return err
	}
	for {
		m, err := c.Read()
		if err != nil {
			return err
		}
		switch m.Type {
		case typeAuthentication:
			if err := checkAuthentication(m.Body()); err != nil {
				return err
			}
		case typeBackendKeyData:
			c.recordBackendKey(m.Body())
		case TypeErrorResponse:
			return ParseError(m.Body())
		case TypeReadyForQuery:
			return nil
		case TypeNotice:
		default:
			return errors.Errorf("target sent unexpected message %q during start-up; check that the address is that of a database member", m.Type)
		}
	}
}

func checkAuthentication(body []byte) error {
	if len(body) < authenticationLength || binary.BigEndian.Uint32(body) != authenticationOK {
		return errors.New("target requests a password; allow connections from the instances' addresses without one")
	}
	return nil
}

func (c *Conn) recordBackendKey(body []byte) {
	if len(body) < backendKeyDataLength {
		return
	}
	c.pid = binary.BigEndian.Uint32(body)
	c.secret = binary.BigEndian.Uint32(body[messageLengthBytes:])
}

func (c *Conn) recordPosition(body []byte) {
	parts := bytes.SplitN(body, []byte{0}, parameterStatusParts+1)
	if len(parts) < parameterStatusParts || string(parts[0]) != positionParameter {
		return
	}
	if value, err := strconv.ParseUint(string(parts[1]), 10, 64); err == nil {
		c.reported = types.Position(value)
	}
}
