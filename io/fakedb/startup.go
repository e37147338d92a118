package fakedb

import (
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"turmericpulley/core/types"
)

const (
	// startupTimeout is the time within which a caller has to send its start-up message.
	startupTimeout = 10 * time.Second
	// maxMessageSize is the maximum size in bytes of a message from a caller.
	maxMessageSize = 16 << 20
)

// serve handles a connection until it ends. It refuses encryption, and then serves a cancel request, a session or a replica.
func (m *Member) serve(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxMessageSize)
	_ = conn.SetReadDeadline(time.Now().Add(startupTimeout))
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch message := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte("N")); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			m.cancel(processID(message.ProcessID), message.SecretKey)
			return
		case *pgproto3.StartupMessage:
			m.serveSession(conn, backend, message.Parameters)
			return
		default:
			return
		}
	}
}

// cancel cancels the statement of the connection that a cancel request names, if the secret key is right.
func (m *Member) cancel(process processID, secret []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.sessions[process]; s != nil && string(s.secret) == string(secret) {
		s.cancel()
	}
}

// serveSession serves a replication connection, or admits a session and serves it.
func (m *Member) serveSession(conn net.Conn, backend *pgproto3.Backend, parameters map[string]string) {
	if parameters[replicationSetting] == "true" {
		_ = conn.SetReadDeadline(time.Time{})
		m.sendLog(conn, backend)
		return
	}
	s := newSession(m, conn, backend, parameters)
	if err := s.readEpoch(parameters); err != nil {
		s.sendFinalError(err)
		return
	}
	if err := m.admit(s); err != nil {
		s.sendFinalError(err)
		return
	}
	defer m.removeSession(s)
	s.completeStartup()
}

// readEpoch reads the owner's epoch from the start-up parameters; without one, the caller is not an owner.
func (s *session) readEpoch(parameters map[string]string) error {
	text, ok := parameters[epochSetting]
	if !ok {
		return nil
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return failFatal(stateInvalidParameter, "pulley.epoch must be a whole number, not "+text)
	}
	s.epoch = types.Epoch(epoch)
	s.fromOwner = true
	return nil
}

// admit registers a session. It returns an error when the member is stopping, when a higher epoch has claimed it, or when there
// are too many connections. Owners may open one connection more than others.
func (m *Member) admit(s *session) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return failFatal(stateCannotConnectNow, "the member is stopping; connect to another")
	}
	if s.fromOwner && s.epoch < m.durable.Epoch {
		return failFatal(stateCannotConnectNow, "a higher epoch has claimed this member; check the ownership again")
	}
	if limit := m.settings.Connections; limit > 0 {
		if s.fromOwner {
			limit++
		}
		if len(m.sessions) >= limit {
			return failFatal(stateTooManyConnections, "sorry, too many clients already")
		}
	}
	m.lastProcess++
	s.process = m.lastProcess
	m.sessions[s.process] = s
	m.usage.addConnections(allCustomers, 1)
	_ = s.conn.SetReadDeadline(time.Time{})
	return nil
}

// removeSession rolls back the transaction of a session, releases its locks and removes it.
func (m *Member) removeSession(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.abort()
	s.tx = nil
	s.releaseAllAdvisory()
	s.updateConnectionCount(false)
	delete(m.sessions, s.process)
	m.usage.addConnections(allCustomers, -1)
}

// sendFinalError sends the error with which the connection ends.
func (s *session) sendFinalError(err error) {
	s.backend.Send(asFailure(err).response())
	_ = s.backend.Flush()
}

// completeStartup waits for ConnectCost, completes the start-up of the connection and handles its messages.
func (s *session) completeStartup() {
	if err := s.pause(s.m.settings.ConnectCost); err != nil {
		s.sendFinalError(err)
		return
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		s.sendParameter(name)
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(s.process), SecretKey: s.secret})
	s.sendReady()
	if s.backend.Flush() == nil {
		s.messageLoop()
	}
}

// reportedSettings are the settings whose values are sent to the caller at the start and after each SET or RESET that names them.
var reportedSettings = []string{
	"server_version", "server_encoding", "client_encoding", "standard_conforming_strings",
	"DateStyle", "integer_datetimes", "TimeZone", "application_name",
}
