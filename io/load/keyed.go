package load

import (
	"fmt"
	"math/rand/v2"

	"turmericpulley/core/audit"
	"turmericpulley/core/types"
)

// requestRecord follows the attempts of one request and turns them into operations of the history.
//
// Without a request key each attempt is an operation of its own. With one, all attempts together are one operation,
// because they may take effect only once.
type requestRecord struct {
	session    *session
	customer   types.CustomerID
	request    request
	requestKey types.RequestKey
	operations []audit.Operation
	// random draws the ids of transactions.
	random *rand.Rand
	// outcome is that of the whole request so far.
	outcome audit.Outcome
}

func (c *caller) newRequestRecord(r request) *requestRecord {
	k := &requestRecord{session: c.session, customer: c.settings.Customer, request: r, random: c.random}
	if c.settings.RequestKeys && r.isWrite() {
		k.requestKey = types.RequestKey(fmt.Sprintf("%s-%016x", c.session.run, c.random.Uint64()))
	}
	return k
}

// addAttempt takes the answer of one attempt and returns the outcome of the request so far.
func (k *requestRecord) addAttempt(a attemptResult, invoked, returned audit.Moment) audit.Outcome {
	if a.alreadyRun && k.requestKey != "" {
		a.outcome = audit.Acknowledged
	}
	if k.requestKey == "" || k.outcome == 0 {
		k.outcome = a.outcome
		k.operations = append(k.operations, k.newOperations(a, invoked, returned)...)
		return k.outcome
	}
	if k.outcome != audit.Unknown || a.outcome == audit.Acknowledged {
		k.outcome = a.outcome
	}
	for i := range k.operations {
		k.operations[i].Outcome = k.outcome
		k.operations[i].Returned = returned
	}
	return k.outcome
}

// mayRetry reports whether another attempt is safe after the answer.
func (k *requestRecord) mayRetry(a attemptResult) bool {
	switch a.outcome {
	case audit.NotRun:
		return true
	case audit.Unknown:
		return k.requestKey != "" || !k.request.isWrite()
	default:
		return false
	}
}

// addToHistory adds the operations to the history.
func (k *requestRecord) addToHistory(history *audit.History) { history.Add(k.operations...) }

// newOperations returns an operation for each step.
func (k *requestRecord) newOperations(a attemptResult, invoked, returned audit.Moment) []audit.Operation {
	operations := make([]audit.Operation, 0, len(k.request.steps))
	transaction := audit.TransactionID(0)
	if k.request.transaction {
		transaction = audit.TransactionID(k.random.Uint64())
	}
	reads := 0
	for _, s := range k.request.steps {
		o := audit.Operation{
			Session: k.session.name, Customer: k.customer, Kind: s.kind, Value: s.value, RequestKey: k.requestKey,
			Transaction: transaction,
			Row:         audit.Row{Database: k.session.database, Key: s.key()},
			Invoked:     invoked, Returned: returned, Outcome: a.outcome, SQLState: a.sqlState,
		}
		if s.kind == audit.Read && reads < len(a.readValues) {
			o.Value = a.readValues[reads]
			reads++
		}
		operations = append(operations, o)
	}
	return operations
}
