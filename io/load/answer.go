package load

import (
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"turmericpulley/core/audit"
)

// answer is what a caller was told about one attempt.
type answer struct {
	outcome  audit.Outcome
	sqlState audit.SQLState
	// broken reports that the connection cannot be used any more.
	broken bool
	// recorded reports that a request with the same request key had run before.
	recorded bool
	// values holds what the read steps returned, in the order of the steps.
	values []audit.Value
}

const (
	uniqueViolation = "23505"
	// proxyFailed begins the message of a failure that the proxy itself reports.
	proxyFailed = "failed: "
)

// errNoRow reports an update that found no row.
var errNoRow = errors.New("the update found no row")

// classify returns the answer that an error stands for.
func classify(err error) answer {
	if err == nil {
		return answer{outcome: audit.Acknowledged}
	}
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		code := audit.SQLState(refusal.Code)
		recorded := code == uniqueViolation && strings.HasPrefix(refusal.Message, proxyFailed)
		return answer{outcome: code.Outcome(), sqlState: code, recorded: recorded, broken: refusal.Severity == "FATAL"}
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) || errors.Is(err, errNoRow) {
		return answer{outcome: audit.Failed}
	}
	if pgconn.SafeToRetry(err) {
		return answer{outcome: audit.NotRun, broken: true}
	}
	return answer{outcome: audit.Unknown, broken: true}
}

// classifyConnect returns the answer for a connection that was not established; nothing was sent on it.
func classifyConnect(err error) answer {
	a := classify(err)
	a.outcome = audit.NotRun
	a.broken = true
	return a
}

// classifyUncommitted returns the answer for a transaction that broke off before its COMMIT was sent.
func classifyUncommitted(err error) answer {
	a := classify(err)
	if a.outcome == audit.Unknown {
		a.outcome = audit.NotRun
	}
	return a
}
