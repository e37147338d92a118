package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"turmericpulley/core/policy"
)

const (
	// watchdogInterval is how long a target may send nothing before it is asked over a new connection whether it still runs a
	// statement.
	watchdogInterval = time.Second
	backendActive    = "active"
)

// watchdog aborts a connection that receives nothing although the target no longer runs a statement for it.
type watchdog struct {
	owner  *Owner
	member policy.Member
	conn   *pooledConn
	ended  atomic.Bool

	// mu guards the fields that the timer's goroutine shares with the goroutine that starts the watchdog.
	mu           sync.Mutex
	timer        *time.Timer
	lastReceived uint64
}

// startWatchdog starts the watchdog of a connection on which a statement is about to be sent.
func (o *Owner) startWatchdog(member policy.Member, c *pooledConn) *watchdog {
	w := &watchdog{owner: o, member: member, conn: c, lastReceived: c.MessagesReceived()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchdogInterval, w.check)
	return w
}

// stop ends the watchdog.
func (w *watchdog) stop() {
	w.ended.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

func (w *watchdog) check() {
	if w.ended.Load() || w.progressed() {
		return
	}
	if !w.owner.watchdogMu.TryLock() {
		w.resetTimer()
		return
	}
	running, err := w.owner.runsStatement(w.member, w.conn.PID())
	w.owner.watchdogMu.Unlock()
	if w.ended.Load() || w.progressed() {
		return
	}
	if err != nil || running {
		w.resetTimer()
		return
	}
	w.owner.settings.Counters.UnresponsiveConns.Add(1)
	w.owner.closeIdleConns()
	w.conn.Abort()
}

// progressed reports whether messages were received since the last check; if so it schedules the next check.
func (w *watchdog) progressed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	received := w.conn.MessagesReceived()
	if received == w.lastReceived {
		return false
	}
	w.lastReceived = received
	w.timer.Reset(watchdogInterval)
	return true
}

func (w *watchdog) resetTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(watchdogInterval)
}

// closeIdleConns closes the idle connections to all members: what broke one connection may have broken others unnoticed.
func (o *Owner) closeIdleConns() {
	for _, m := range o.members {
		m.pool.closeIdle()
	}
}

// runsStatement asks a member over a new connection whether the server process with the id runs a statement.
func (o *Owner) runsStatement(m policy.Member, pid uint32) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := dialControl(ctx, o.settings, m)
	if err != nil {
		return false, err
	}
	defer c.close()
	row, err := c.conn.QueryRow(fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid), controlTimeout)
	if err != nil {
		return false, err
	}
	return row["state"] == backendActive, nil
}
