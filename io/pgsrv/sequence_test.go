package pgsrv_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var scriptedStatements = []string{
	"INSERT x", "BEGIN", "COMMIT", "ROLLBACK", "BAD", "BREAK", "HALF", "TORN", "CROSS", "LEAVE", "REFUSE noPrimary",
	"COPY x FROM STDIN", "SET pulley.read_only = on", "SHOW pulley.session", "SET x = 1", "",
}

// randomBatch is a randomly drawn batch with the rows that its answer may contain.
type randomBatch struct {
	messages []pgproto3.FrontendMessage
	rows     map[string]bool
}

// TestEachBatchGetsOneReadyForQuery checks with random sequences of messages that the answer to each batch has exactly one
// ReadyForQuery and only rows of its own statements.
func TestEachBatchGetsOneReadyForQuery(t *testing.T) {
	h := newHarness(t)
	rapid.Check(t, func(rt *rapid.T) {
		next, prepared := 0, map[string]bool{}
		batches := make([]randomBatch, rapid.IntRange(1, 8).Draw(rt, "batches"))
		data := make([]byte, 0, 1024)
		for i := range batches {
			batches[i] = drawBatch(rt, &next, prepared)
			data = append(data, encode(t, batches[i].messages...)...)
		}
		conn := h.dial()
		defer func() { _ = conn.Close() }()
		frontend := startUp(t, conn)
		cut := rapid.IntRange(0, len(data)).Draw(rt, "cut")
		sent := make(chan error, 1)
		go func() {
			_, _ = conn.Write(data[:cut])
			time.Sleep(time.Millisecond)
			_, err := conn.Write(data[cut:])
			sent <- err
		}()
		for i := range batches {
			checkAnswer(rt, frontend, i, batches[i].rows)
		}
		require.NoError(rt, <-sent)
	})
}

func drawBatch(rt *rapid.T, next *int, prepared map[string]bool) randomBatch {
	batch := randomBatch{rows: map[string]bool{"half": true, "connection": true}}
	text := func() string {
		if rapid.Bool().Draw(rt, "select") {
			*next++
			batch.rows[fmt.Sprint(*next)] = true
			return fmt.Sprint("SELECT ", *next)
		}
		return rapid.SampledFrom(scriptedStatements).Draw(rt, "script")
	}
	if rapid.Bool().Draw(rt, "simple") {
		batch.messages = append(batch.messages, query(text()))
		return batch
	}
	for row := range prepared {
		batch.rows[row] = true
	}
	for range rapid.IntRange(0, 3).Draw(rt, "statements") {
		name := rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "name")
		steps := []pgproto3.FrontendMessage{
			&pgproto3.Close{ObjectType: 'S', Name: name}, &pgproto3.Parse{Name: name, Query: text()}, &pgproto3.Describe{ObjectType: 'S', Name: name},
			&pgproto3.Bind{PreparedStatement: name}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Flush{},
		}
		for _, step := range steps {
			if rapid.IntRange(0, 9).Draw(rt, "keep") > 1 {
				batch.messages = append(batch.messages, step)
			}
		}
	}
	batch.messages = append(batch.messages, &pgproto3.Sync{})
	for row := range batch.rows {
		prepared[row] = true
	}
	return batch
}

func checkAnswer(rt *rapid.T, frontend *pgproto3.Frontend, batch int, rows map[string]bool) {
	for {
		m, err := frontend.Receive()
		require.NoError(rt, err, "batch %d", batch)
		switch m := m.(type) {
		case *pgproto3.DataRow:
			value := string(m.Values[0])
			if len(value) > 10 {
				value = value[:10] // shorten the default session name, which ends with random digits
			}
			require.Contains(rt, rows, value, "batch %d", batch)
		case *pgproto3.ReadyForQuery:
			return
		}
	}
}

// TestMutatedMessagesLeaveOtherConnectionsWorking checks that the server keeps serving another connection after random
// changes to the bytes that a caller sends.
func TestMutatedMessagesLeaveOtherConnectionsWorking(t *testing.T) {
	h := newHarness(t)
	other := h.connect("")
	rapid.Check(t, func(rt *rapid.T) {
		next := 0
		data := encode(t, startUpMessage())
		for range rapid.IntRange(1, 4).Draw(rt, "batches") {
			data = append(data, encode(t, drawBatch(rt, &next, map[string]bool{}).messages...)...)
		}
		for range rapid.IntRange(1, 6).Draw(rt, "mutations") {
			data[rapid.IntRange(0, len(data)-1).Draw(rt, "place")] = rapid.Byte().Draw(rt, "byte")
		}
		conn := h.dial()
		_, _ = conn.Write(data)
		require.NoError(rt, conn.(*net.TCPConn).CloseWrite())
		_, _ = io.Copy(io.Discard, conn)
		require.NoError(rt, conn.Close())
		require.NoError(rt, other.Ping(h.context()))
	})
}
