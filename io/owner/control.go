package owner

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/policy"
	"turmericpulley/core/quorum"
	"turmericpulley/core/types"
	"turmericpulley/io/pgcli"
)

// controlConn is a connection to a member for calls of its control functions.
type controlConn struct {
	conn *pgcli.Conn
}

func dialControl(ctx context.Context, s Settings, m policy.Member) (*controlConn, error) {
	conn, err := pgcli.Dial(ctx, dialSettings(s, m))
	if err != nil {
		return nil, errors.Wrapf(err, "dialling member %s", m.Target)
	}
	s.Counters.Dials.Add(1)
	return &controlConn{conn: conn}, nil
}

func dialSettings(s Settings, m policy.Member) pgcli.Settings {
	address := m.Address
	if s.Resolve != nil {
		address = s.Resolve(address)
	}
	return pgcli.Settings{Address: address, Database: s.Database.Database, Epoch: s.Epoch, Timeout: dialTimeout}
}

func (c *controlConn) close() { _ = c.conn.Close() }

func (c *controlConn) claim(epoch types.Epoch) (quorum.Observation, error) {
	return c.call(fmt.Sprintf("SELECT * FROM pulley_claim(%d)", epoch), controlTimeout)
}

func (c *controlConn) status() (quorum.Observation, error) {
	return c.call("SELECT * FROM pulley_status()", controlTimeout)
}

func (c *controlConn) watch(after types.Position) (quorum.Observation, error) {
	sql := fmt.Sprintf("SELECT * FROM pulley_watch(%d, %d)", after, maxWatchDuration.Milliseconds())
	return c.call(sql, maxWatchDuration+watchAnswerMargin)
}

func (c *controlConn) fence(epoch types.Epoch, term types.Term) (quorum.Observation, error) {
	return c.call(fmt.Sprintf("SELECT * FROM pulley_fence(%d, %d)", epoch, term), controlTimeout)
}

func (c *controlConn) promote(epoch types.Epoch, term types.Term) (quorum.Observation, error) {
	return c.call(fmt.Sprintf("SELECT * FROM pulley_promote(%d, %d)", epoch, term), controlTimeout)
}

func (c *controlConn) follow(epoch types.Epoch, term types.Term, address string) (quorum.Observation, error) {
	sql := fmt.Sprintf("SELECT * FROM pulley_follow(%d, %d, '%s')", epoch, term, strings.ReplaceAll(address, "'", "''"))
	return c.call(sql, controlTimeout)
}

func (c *controlConn) call(sql string, timeout time.Duration) (quorum.Observation, error) {
	sentAt := time.Now()
	row, err := c.conn.QueryRow(sql, timeout)
	if err != nil {
		return quorum.Observation{}, errors.Wrap(err, "calling a member's control function")
	}
	if row == nil {
		return quorum.Observation{}, errors.New("a member answered a control call without a row; check its version")
	}
	status, err := parseStatus(row)
	return quorum.Observation{Status: status, SentAt: sentAt}, err
}

// parseStatus converts the row that every control function returns.
func parseStatus(row pgcli.Row) (quorum.Status, error) {
	numbers := map[string]uint64{
		"term": 0, "fencedTerm": 0, "logTerm": 0, "position": 0, "applied": 0, "committed": 0, "epoch": 0, "discarded": 0,
		"previousEpoch": 0,
	}
	for column := range numbers {
		value, err := row.Uint(column)
		if err != nil {
			return quorum.Status{}, errors.Wrap(err, "reading a member's status")
		}
		numbers[column] = value
	}
	sinceOwner, err := strconv.ParseInt(row["sinceOwnerMs"], 10, 64)
	if err != nil {
		return quorum.Status{}, errors.Wrap(err, "reading a member's status")
	}
	role := quorum.Replica
	if row["role"] == quorum.Primary.String() {
		role = quorum.Primary
	}
	return quorum.Status{
		Target:        types.TargetID(row["target"]),
		Role:          role,
		Term:          types.Term(numbers["term"]),
		FencedTerm:    types.Term(numbers["fencedTerm"]),
		LogTerm:       types.Term(numbers["logTerm"]),
		Position:      types.Position(numbers["position"]),
		Applied:       types.Position(numbers["applied"]),
		Committed:     types.Position(numbers["committed"]),
		Epoch:         types.Epoch(numbers["epoch"]),
		PreviousEpoch: types.Epoch(numbers["previousEpoch"]),
		SinceOwner:    time.Duration(sinceOwner) * time.Millisecond,
		Leaving:       row["leaving"] == "true",
		Streaming:     row["streaming"] == "true",
		Discarded:     numbers["discarded"],
	}, nil
}
