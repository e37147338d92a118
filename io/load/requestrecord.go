package load

import (
	"fmt"
	"math/rand/v2"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// requestRecord collects the attempts of one request as operations of the history.
//
// Without a request key, each attempt is recorded as operations of its own. With a request key, all attempts together are
// recorded once, because they may take effect only once.
type requestRecord struct {
	session    *session
	customer   types.AccountID
	request    request
	requestKey types.RequestKey
	operations []audit.Operation
	// random generates the ids of transactions.
	random *rand.Rand
	// outcome is the outcome of all attempts so far.
	outcome audit.Outcome
}

func (c *caller) newRequestRecord(r request) *requestRecord {
	record := &requestRecord{session: c.session, customer: c.settings.Customer, request: r, random: c.random}
	if c.settings.RequestKeys && r.isWrite() {
		record.requestKey = types.RequestKey(fmt.Sprintf("%s-%016x", c.session.run, c.random.Uint64()))
	}
	return record
}

// addAttempt adds the result of one attempt and returns the outcome of the request so far.
func (r *requestRecord) addAttempt(result attemptResult, invoked, returned audit.Moment) audit.Outcome {
	if result.alreadyRun && r.requestKey != "" {
		result.outcome = audit.Acknowledged
	}
	if r.requestKey == "" || r.outcome == 0 {
		r.outcome = result.outcome
		r.operations = append(r.operations, r.newOperations(result, invoked, returned)...)
		return r.outcome
	}
	if r.outcome != audit.Unknown || result.outcome == audit.Acknowledged {
		r.outcome = result.outcome
	}
	for i := range r.operations {
		r.operations[i].Outcome = r.outcome
		r.operations[i].Returned = returned
	}
	return r.outcome
}

// mayRetry reports whether another attempt is safe after this result.
func (r *requestRecord) mayRetry(result attemptResult) bool {
	switch result.outcome {
	case audit.NotRun:
		return true
	case audit.Unknown:
		return r.requestKey != "" || !r.request.isWrite()
	default:
		return false
	}
}

// addToHistory adds the operations of all attempts to the history.
func (r *requestRecord) addToHistory(history *audit.History) { history.Add(r.operations...) }

// newOperations returns one operation for each step of the request.
func (r *requestRecord) newOperations(result attemptResult, invoked, returned audit.Moment) []audit.Operation {
	operations := make([]audit.Operation, 0, len(r.request.steps))
	transaction := audit.TransactionID(0)
	if r.request.transaction {
		transaction = audit.TransactionID(r.random.Uint64())
	}
	reads := 0
	for _, s := range r.request.steps {
		o := audit.Operation{
			Session: r.session.name, Customer: r.customer, Kind: s.kind, Value: s.value, RequestKey: r.requestKey,
			Transaction: transaction,
			Row:         audit.Row{Database: r.session.database, Key: s.key()},
			Invoked:     invoked, Returned: returned, Outcome: result.outcome, SQLState: result.sqlState,
		}
		if s.kind == audit.Read && reads < len(result.readValues) {
			o.Value = result.readValues[reads]
			reads++
		}
		operations = append(operations, o)
	}
	return operations
}
