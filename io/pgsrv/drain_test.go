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

func TestDrainLetsRequestsFinish(t *testing.T) {
	b := newHarness(t)
	idle := startUp(t, b.dial())
	open, running := b.connect(""), b.connect("")
	_, err := open.Exec(b.context(), "BEGIN")
	require.NoError(t, err)
	ran := make(chan error, 1)
	go func() {
		_, err := running.Exec(context.Background(), "HANG")
		ran <- err
	}()
	require.Eventually(t, func() bool { return len(b.ownerLog.snapshot().statements) == 2 }, testTimeout, time.Millisecond)
	drained := make(chan error, 1)
	ctx := b.context()
	go func() { drained <- b.server.Drain(ctx) }()
	requireFatal(t, idle, "57P03")
	_, err = net.Dial("tcp", b.server.Address().String())
	require.Error(t, err)
	_, err = open.Exec(b.context(), "INSERT order")
	require.NoError(t, err)
	_, err = open.Exec(b.context(), "COMMIT")
	require.NoError(t, err)
	_ = running.PgConn().Conn().SetDeadline(time.Now().Add(testTimeout))
	select {
	case err := <-drained:
		t.Fatalf("drained with a request in flight: %v", err)
	case <-time.After(150 * time.Millisecond):
	}
	_ = running.PgConn().Conn().Close()
	require.Error(t, <-ran)
	require.NoError(t, <-drained)
	require.Equal(t, []string{"BEGIN", "HANG", "INSERT order", "COMMIT"}, b.ownerLog.snapshot().statements)
	_, err = open.Exec(b.context(), "INSERT late")
	var failure *pgconn.PgError
	if err != nil && !open.IsClosed() {
		require.ErrorAs(t, err, &failure)
	}
	require.Error(t, err)
}

func TestDrainCutsNoRequest(t *testing.T) {
	b := newHarness(t)
	var callers sync.WaitGroup
	var mutex sync.Mutex
	answered, refused := map[string]bool{}, map[string]bool{}
	for i := range 40 {
		conn := b.connect("")
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
	require.NoError(t, b.server.Drain(b.context()))
	callers.Wait()
	ran := map[string]bool{}
	for _, text := range b.ownerLog.snapshot().statements {
		ran[text] = true
	}
	for text := range answered {
		require.NotEqual(t, refused[text], ran[text], text)
	}
	require.Greater(t, len(ran), 40)
}

func TestDrainIsBounded(t *testing.T) {
	b := newHarness(t)
	open := b.connect("")
	_, err := open.Exec(b.context(), "BEGIN")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, b.server.Drain(ctx), context.DeadlineExceeded)
	_, err = open.Exec(b.context(), "COMMIT")
	require.NoError(t, err, "a transaction in flight goes on while the server drains")
	require.NoError(t, b.server.Drain(b.context()))
}
