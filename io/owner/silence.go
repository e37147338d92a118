package owner

import (
	"context"
	"fmt"
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
	timer  *time.Timer
	seen   uint64
	ended  atomic.Bool
}

// watchSilence starts to watch a connection on which a statement was sent.
func (o *Owner) watchSilence(member policy.Member, c *pooled) *silenceWatch {
	w := &silenceWatch{owner: o, member: member, conn: c, seen: c.Received()}
	w.timer = time.AfterFunc(silenceCheckAfter, w.check)
	return w
}

// end stops the watch.
func (w *silenceWatch) end() {
	w.ended.Store(true)
	w.timer.Stop()
}

func (w *silenceWatch) check() {
	if w.ended.Load() {
		return
	}
	if received := w.conn.Received(); received != w.seen {
		w.seen = received
		w.timer.Reset(silenceCheckAfter)
		return
	}
	working, err := w.owner.isWorking(w.member, w.conn.PID())
	if w.ended.Load() {
		return
	}
	if err != nil || working {
		w.timer.Reset(silenceCheckAfter)
		return
	}
	if w.conn.Received() == w.seen {
		w.owner.settings.Counters.Silent.Add(1)
		w.owner.dropIdle()
		w.conn.Abort()
	}
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
