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
	// silenceCheckAfter is how long a target may send nothing before a fresh connection asks whether it still works.
	silenceCheckAfter = time.Second
	activeState       = "active"
)

// silenceWatch condemns a connection that went silent although the target no longer works on its statement.
type silenceWatch struct {
	owner  *Owner
	member policy.Member
	conn   *pooled
	ended  atomic.Bool

	// mu guards what the timer's goroutine shares with the one that starts the watch.
	mu    sync.Mutex
	timer *time.Timer
	seen  uint64
}

// watchSilence starts to watch a connection on which a statement was sent.
func (o *Owner) watchSilence(member policy.Member, c *pooled) *silenceWatch {
	w := &silenceWatch{owner: o, member: member, conn: c, seen: c.Received()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceCheckAfter, w.check)
	return w
}

// end stops the watch.
func (w *silenceWatch) end() {
	w.ended.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
}

func (w *silenceWatch) check() {
	if w.ended.Load() || w.progressed() {
		return
	}
	if !w.owner.checking.TryLock() {
		w.rearm()
		return
	}
	working, err := w.owner.isWorking(w.member, w.conn.PID())
	w.owner.checking.Unlock()
	if w.ended.Load() || w.progressed() {
		return
	}
	if err != nil || working {
		w.rearm()
		return
	}
	w.owner.settings.Counters.Silent.Add(1)
	w.owner.dropIdle()
	w.conn.Abort()
}

// progressed reports whether messages came since the last check, which puts off the next one.
func (w *silenceWatch) progressed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	received := w.conn.Received()
	if received == w.seen {
		return false
	}
	w.seen = received
	w.timer.Reset(silenceCheckAfter)
	return true
}

func (w *silenceWatch) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(silenceCheckAfter)
}

// dropIdle closes the idle connections to all members: what made one silent may have silenced others unnoticed.
func (o *Owner) dropIdle() {
	for _, m := range o.members {
		m.pool.dropIdle()
	}
}

// isWorking asks a member over a fresh connection whether it runs a statement for a process id.
func (o *Owner) isWorking(m policy.Member, pid uint32) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := dialControl(ctx, o.settings, m)
	if err != nil {
		return false, err
	}
	defer c.close()
	row, err := c.conn.Query(fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid), controlTimeout)
	if err != nil {
		return false, err
	}
	return row["state"] == activeState, nil
}
