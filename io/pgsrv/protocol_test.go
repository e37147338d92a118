package pgsrv_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"turmericpulley/io/pgsrv"
)

func (h *harness) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Address().String())
	require.NoError(h.t, err)
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	h.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func encode(tb testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	tb.Helper()
	var data []byte
	for _, m := range messages {
		var err error
		data, err = m.Encode(data)
		require.NoError(tb, err)
	}
	return data
}

func query(text string) *pgproto3.Query { return &pgproto3.Query{String: text} }

func startUpMessage() *pgproto3.StartupMessage {
	return &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "desk", "database": "orders-1"},
	}
}

// startUp performs the start-up on a connection, up to the first ReadyForQuery.
func startUp(tb testing.TB, conn net.Conn) *pgproto3.Frontend {
	tb.Helper()
	_, err := conn.Write(encode(tb, startUpMessage()))
	require.NoError(tb, err)
	frontend := pgproto3.NewFrontend(conn, conn)
	for {
		m, err := frontend.Receive()
		require.NoError(tb, err)
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return frontend
		}
	}
}

// requireFatal requires a fatal error followed by the end of the connection.
func requireFatal(tb testing.TB, frontend *pgproto3.Frontend, state string) {
	tb.Helper()
	m, err := frontend.Receive()
	require.NoError(tb, err)
	require.IsType(tb, &pgproto3.ErrorResponse{}, m)
	require.Equal(tb, state, m.(*pgproto3.ErrorResponse).Code)
	require.Equal(tb, "FATAL", m.(*pgproto3.ErrorResponse).Severity)
	_, err = frontend.Receive()
	require.ErrorIs(tb, err, io.ErrUnexpectedEOF)
}

func header(kind byte, length uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{kind}, length)
}

func TestInvalidMessageEndsOnlyItsConnection(t *testing.T) {
	h := newHarness(t, func(s *pgsrv.Settings) { s.MaxMessageBytes = 1 << 20 })
	other := h.connect("")
	for name, invalid := range map[string][]byte{
		"unknown type":            header('?', 4),
		"length 3":                header('Q', 3),
		"oversized":               header('Q', 1<<20+1),
		"negative length":         header('Q', 1<<31),
		"truncated Query":         append(header('Q', 7), "abc"...),
		"truncated Bind":          append(header('B', 7), "abc"...),
		"FunctionCall":            header('F', 4),
		"Query in extended batch": append(encode(t, &pgproto3.Parse{Query: "SELECT 1"}), encode(t, query("SELECT 1"))...),
	} {
		t.Run(name, func(t *testing.T) {
			conn := h.dial()
			frontend := startUp(t, conn)
			_, err := conn.Write(invalid)
			require.NoError(t, err)
			requireFatal(t, frontend, "08P01")
		})
	}
	for _, invalid := range []string{"GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x09\x12\x34\x56\x78\x00", "\x00\x00\x00\x01"} {
		conn := h.dial()
		_, err := conn.Write([]byte(invalid))
		require.NoError(t, err)
		requireFatal(t, pgproto3.NewFrontend(conn, conn), "08P01")
	}
	require.EqualValues(t, 11, h.server.Counters().ProtocolViolations.Load())
	require.Empty(t, h.ownerLog.snapshot().begins)
	_, err := other.Exec(h.context(), "INSERT $1", "order")
	require.NoError(t, err)
}

func TestLargeMessageIsRelayedUnchanged(t *testing.T) {
	h := newHarness(t)
	conn := h.connect("")
	text := "SELECT " + string(bytes.Repeat([]byte("x"), 4<<20))
	var value string
	require.NoError(t, conn.QueryRow(h.context(), "SELECT $1", text[7:]).Scan(&value))
	require.Equal(t, text[7:], value)
	_, err := conn.Exec(h.context(), text)
	require.NoError(t, err)
	batch := &pgx.Batch{}
	for range 6 {
		batch.Queue("INSERT $1", text)
	}
	require.NoError(t, conn.SendBatch(h.context(), batch).Close())
	require.Less(t, h.ownerLog.snapshot().maxPayload, 5<<20, "a batch is sent in frames within the limit of the transport between instances")
}

func TestPipelinedQueriesAreAnsweredInOrder(t *testing.T) {
	h := newHarness(t)
	conn := h.dial()
	frontend := startUp(t, conn)
	_, err := conn.Write(encode(t, query("SELECT a"), query("SET pulley.read_only = on"), query("BEGIN"), query("SELECT b"),
		query("ROLLBACK"), &pgproto3.Sync{}, query("SELECT c"), &pgproto3.Terminate{}))
	require.NoError(t, err)
	var got []string
	for {
		m, err := frontend.Receive()
		if err != nil {
			break
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			got = append(got, string(m.Values[0]))
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ReadyForQuery:
			got = append(got, string(m.TxStatus))
		}
	}
	require.Equal(t, []string{
		"a", "SELECT 1", "I", "SET", "I", "BEGIN", "T", "b", "SELECT 1", "T", "ROLLBACK", "I", "I", "c", "SELECT 1", "I",
	}, got)
}

func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	h := newHarness(t, func(s *pgsrv.Settings) { s.MaxConnections = 1 })
	startUp(t, h.dial())
	conn := h.dial()
	_, err := conn.Write(encode(t, startUpMessage()))
	require.NoError(t, err)
	requireFatal(t, pgproto3.NewFrontend(conn, conn), "53300")
}
