package fakedb_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"turmericpulley/core/types"
	"turmericpulley/io/fakedb"
)

// cluster is three members under random faults, and the rows that some primary has reported as committed.
type cluster struct {
	t         *testing.T
	settings  [3]fakedb.Settings
	members   [3]*fakedb.Member
	term      int
	writes    int
	committed map[string]string
}

func newCluster(t *testing.T, directory string) *cluster {
	t.Helper()
	c := &cluster{t: t, term: 1, committed: map[string]string{}}
	for i := range c.members {
		s := fastSettings()
		s.ID, s.Members = types.TargetID(fmt.Sprint("m", i)), len(c.members)
		s.StatePath = filepath.Join(directory, string(s.ID))
		if i > 0 {
			s.Role, s.Primary = fakedb.Replica, c.settings[0].Address
		}
		c.members[i] = c.open(s)
		s.Address = c.members[i].Address()
		c.settings[i] = s
	}
	return c
}

func (c *cluster) open(s fakedb.Settings) *fakedb.Member {
	m, err := fakedb.Start(s)
	require.NoError(c.t, err)
	return m
}

func (c *cluster) restart(i int) {
	require.NoError(c.t, c.members[i].Close())
	c.members[i] = c.open(c.settings[i])
}

// run sends one statement to a member and ignores its errors.
func (c *cluster) run(i int, query string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://desk@"+c.settings[i].Address+"/orders?default_query_exec_mode=simple_protocol")
	require.NoError(c.t, err)
	_, _ = conn.Exec(ctx, query)
	_ = conn.Close(ctx)
}

// recordCommitted adds the rows of every primary whose whole log is committed.
func (c *cluster) recordCommitted() {
	for _, m := range c.members {
		rows, s := m.Rows("t"), m.Status()
		if s.Role != fakedb.Primary || s.Committed != s.Position || uint64(len(rows)) == 0 {
			continue
		}
		for key, value := range rows {
			c.committed[key] = value
		}
	}
}

// failover fences the given members, promotes the one with the newest log and makes the others follow it.
func (c *cluster) failover(fenced []int) {
	c.term++
	best := fenced[0]
	for _, i := range fenced {
		c.run(i, fmt.Sprintf("SELECT * FROM pulley_fence(0, %d)", c.term))
		a, b := c.members[i].Status(), c.members[best].Status()
		if a.LogTerm > b.LogTerm || a.LogTerm == b.LogTerm && a.Position > b.Position {
			best = i
		}
	}
	c.run(best, fmt.Sprintf("SELECT * FROM pulley_promote(0, %d)", c.term))
	for i := range c.members {
		if i != best {
			c.run(i, fmt.Sprintf("SELECT * FROM pulley_follow(0, %d, '%s')", c.term, c.settings[best].Address))
		}
	}
}

// step does one of these at random: it tries a write on every member, waits, changes a lag, restarts a member or fails over.
func (c *cluster) step(r *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(r, "member")
	switch rapid.SampledFrom([]string{"write", "write", "wait", "lag", "restart", "failover"}).Draw(r, "step") {
	case "write":
		for j := range c.members {
			c.writes++
			c.run(j, fmt.Sprintf("INSERT INTO t (key, value) VALUES ('k%d', 'm%d')", c.writes, j))
		}
	case "wait":
		<-time.After(5 * time.Millisecond)
	case "lag":
		c.members[i].SetReceiveLag(time.Duration(rapid.IntRange(0, 1).Draw(r, "lag")) * time.Hour)
	case "restart":
		c.restart(i)
	case "failover":
		c.failover([]int{i, (i + 1) % 3})
	}
	c.recordCommitted()
}

// A row that a primary reported as committed has to be on the primary after any sequence of faults, and on all members once
// they have caught up.
func TestCommittedRowsSurviveFailovers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		directory, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(t, err)
		c := newCluster(t, directory)
		defer func() {
			for _, m := range c.members {
				require.NoError(t, m.Close())
			}
		}()
		for range rapid.IntRange(1, 15).Draw(r, "steps") {
			c.step(r)
		}
		for _, m := range c.members {
			m.SetReceiveLag(0)
		}
		c.failover([]int{0, 1, 2})
		rows := map[string]string{}
		for _, m := range c.members {
			if m.Status().Role == fakedb.Primary {
				rows = m.Rows("t")
			}
		}
		for key := range c.committed {
			if _, ok := rows[key]; !ok {
				r.Fatalf("committed key %s is lost: the primary has %v, committed were %v", key, rows, c.committed)
			}
		}
		for _, m := range c.members {
			eventually(t, func() bool { return len(m.Rows("t")) == len(rows) && m.Status().Streaming })
			require.Equal(t, rows, m.Rows("t"))
		}
	})
}
