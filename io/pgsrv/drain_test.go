package pgsrv_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

func TestDrainWaitsForOpenTransactions(t *testing.T) {
	h := newHarness(t)
	idle := startUp(t, h.dial())
	open, running := h.connect(""), h.connect("")
	_, err := open.Exec(h.context(), "BEGIN")
	require.NoError(t, err)
	execError := make(chan error, 1)
	go func() {
		_, err := running.Exec(context.Background(), "HANG")
		execError <- err
	}()
	require.Eventually(t, func() bool { return len(h.ownerLog.snapshot().statements) == 2 }, testTimeout, time.Millisecond)
	drained := make(chan error, 1)
	ctx := h.context()
	go func() { drained <- h.server.Drain(ctx) }()
	requireFatal(t, idle, "57P03")
	_, err = net.Dial("tcp", h.server.Address().String())
	require.Error(t, err)
	_, err = open.Exec(h.context(), "INSERT order")
	require.NoError(t, err)
	_, err = open.Exec(h.context(), "COMMIT")
	require.NoError(t, err)
	_ = running.PgConn().Conn().SetDeadline(time.Now().Add(testTimeout))
	select {
	case err := <-drained:
		t.Fatalf("drain ended while a request was in flight: %v", err)
	case <-time.After(150 * time.Millisecond):
	}
	_ = running.PgConn().Conn().Close()
	require.Error(t, <-execError)
	require.NoError(t, <-drained)
	require.Equal(t, []string{"BEGIN", "HANG", "INSERT order", "COMMIT"}, h.ownerLog.snapshot().statements)
	_, err = open.Exec(h.context(), "INSERT late")
	var pgError *pgconn.PgError
	if err != nil && !open.IsClosed() {
		require.ErrorAs(t, err, &pgError)
	}
	require.Error(t, err)
}

func TestDrainRunsOrRefusesEachRequest(t *testing.T) {
	h := newHarness(t)
	var callers sync.WaitGroup
	var mutex sync.Mutex
	answered, refused := map[string]bool{}, map[string]bool{}
	for i := range 40 {
		conn := h.connect("")
		callers.Add(1)
		go func() {
			defer callers.Done()
			for j := 0; ; j++ {
				text := fmt.Sprintf("INSERT %d-%d", i, j)
				_, err := conn.Exec(context.Background(), text)
				mutex.Lock()
				answered[text], refused[text] = err == nil, err != nil
				mutex.Unlock()
				if err != nil {
					return
				}
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, h.server.Drain(h.context()))
	callers.Wait()
	executed := map[string]bool{}
	for _, text := range h.ownerLog.snapshot().statements {
		executed[text] = true
	}
	for text := range answered {
		require.NotEqual(t, refused[text], executed[text], text)
	}
	require.Greater(t, len(executed), 40)
}

func TestDrainReturnsAtContextDeadline(t *testing.T) {
	h := newHarness(t)
	open := h.connect("")
	_, err := open.Exec(h.context(), "BEGIN")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, h.server.Drain(ctx), context.DeadlineExceeded)
	_, err = open.Exec(h.context(), "COMMIT")
	require.NoError(t, err, "an open transaction continues while the server drains")
	require.NoError(t, h.server.Drain(h.context()))
}
