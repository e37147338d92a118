package load

import (
	"strings"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"turmericpulley/core/audit"
)

// attemptResult is the outcome of one attempt to send a request.
type attemptResult struct {
	outcome  audit.Outcome
	sqlState audit.SQLState
	// connectionBroken reports that the connection cannot be used any more.
	connectionBroken bool
	// alreadyRun reports that an earlier request with the same request key had run.
	alreadyRun bool
	// readValues holds what the read steps returned, in the order of the steps.
	readValues []audit.Value
}

const (
	uniqueViolation = "23505"
	// proxyFailurePrefix starts the message of each error of the proxy itself whose outcome is failed. It distinguishes the
	// proxy's uniqueViolation from that of a database.
	proxyFailurePrefix = "failed: "
)

// errNoRow reports an update that found no row.
var errNoRow = errors.New("the update found no row")

// classifyError converts an error into the result of the attempt.
func classifyError(err error) attemptResult {
	if err == nil {
		return attemptResult{outcome: audit.Acknowledged}
	}
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		code := audit.SQLState(pgErr.Code)
		alreadyRun := code == uniqueViolation && strings.HasPrefix(pgErr.Message, proxyFailurePrefix)
		return attemptResult{outcome: code.Outcome(), sqlState: code, alreadyRun: alreadyRun, connectionBroken: pgErr.Severity == "FATAL"}
	}
	if errors.Is(err, pgx.ErrTxCommitRollback) || errors.Is(err, errNoRow) {
		return attemptResult{outcome: audit.Failed}
	}
	if pgconn.SafeToRetry(err) {
		return attemptResult{outcome: audit.NotRun, connectionBroken: true}
	}
	return attemptResult{outcome: audit.Unknown, connectionBroken: true}
}

// classifyConnectError returns the result for a connection that was not established; no request was sent on it.
func classifyConnectError(err error) attemptResult {
	result := classifyError(err)
	result.outcome = audit.NotRun
	result.connectionBroken = true
	return result
}

// classifyBeforeCommit returns the result for a transaction that failed before its COMMIT was sent: it took no effect.
func classifyBeforeCommit(err error) attemptResult {
	result := classifyError(err)
	if result.outcome == audit.Unknown {
		result.outcome = audit.NotRun
	}
	return result
}
