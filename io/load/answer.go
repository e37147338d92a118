package load

import (
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"turmericpulley/core/audit"
)

// attemptResult is what a caller was told about one attempt.
type attemptResult struct {
	outcome  audit.Outcome
	sqlState audit.SQLState
	// connectionBroken reports that the connection cannot be used any more.
	connectionBroken bool
	// alreadyRun reports that a request with the same request key had run before.
	alreadyRun bool
	// readValues holds what the read steps returned, in the order of the steps.
	readValues []audit.Value
}

const (
	uniqueViolation = "23505"
	// proxyFailurePrefix begins the message of a failure that the proxy itself reports.
	proxyFailurePrefix = "failed: "
)

// errNoRow reports an update that found no row.
var errNoRow = errors.New("the update found no row")

// classifyError returns the answer that an error stands for.
func classifyError(err error) attemptResult {
	if err == nil {
		return attemptResult{outcome: audit.Acknowledged}
	}
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		code := audit.SQLState(refusal.Code)
		recorded := code == uniqueViolation && strings.HasPrefix(refusal.Message, proxyFailurePrefix)
		return attemptResult{outcome: code.Outcome(), sqlState: code, alreadyRun: recorded, connectionBroken: refusal.Severity == "FATAL"}
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) || errors.Is(err, errNoRow) {
		return attemptResult{outcome: audit.Failed}
	}
	if pgconn.SafeToRetry(err) {
		return attemptResult{outcome: audit.NotRun, connectionBroken: true}
	}
	return attemptResult{outcome: audit.Unknown, connectionBroken: true}
}

// classifyConnectError returns the answer for a connection that was not established; nothing was sent on it.
func classifyConnectError(err error) attemptResult {
	a := classifyError(err)
	a.outcome = audit.NotRun
	a.connectionBroken = true
	return a
}

// classifyBeforeCommit returns the answer for a transaction that broke off before its COMMIT was sent.
func classifyBeforeCommit(err error) attemptResult {
	a := classifyError(err)
	if a.outcome == audit.Unknown {
		a.outcome = audit.NotRun
	}
	return a
}
