package fakepl

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Rule is a rule of the users' platform about statements.
type Rule string

const (
	// Mixed is broken by a success without the signature and the rows with which a member answered the statement.
	Mixed Rule = "MIXED"
	// Pinned is broken by a run in another transaction, with other session values or with another prepared statement, and when a
	// prepared statement is unknown.
	Pinned Rule = "PINNED"
	// Unasked is broken by a run that no client asked for with this text.
	Unasked Rule = "UNASKED"
	// Refused is broken by a committed write of an attempt that was told that nothing is kept.
	Refused Rule = "REFUSED"
	// Twice is broken by a write that takes effect twice.
	Twice Rule = "TWICE"
)

// Breach is a violation of a rule.
type Breach struct {
	Rule   Rule
	ID     string
	Detail string
}

// promises are the error codes that promise that nothing of the client's attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}

// Promises reports whether the response promises that nothing of the client's attempt is kept.
func (r Response) Promises() bool { return slices.Contains(promises, r.Code) }

// Breaches compares all requests of clients, those of each transaction in their order, with what the members ran.
func (g *Group) Breaches(requests []Request) []Breach {
	a := &audit{
		requests: map[string]Request{}, runs: map[string][]Run{}, first: map[uint64]string{}, transactions: map[uint64]uint64{},
		effects: map[string]int{},
	}
	for _, r := range g.Runs() {
		a.runs[r.ID] = append(a.runs[r.ID], r)
	}
	for _, r := range requests {
		a.requests[r.ID] = r
		if r.Transaction != 0 && a.first[r.Transaction] == "" && len(a.runs[r.ID]) > 0 {
			a.first[r.Transaction] = r.ID
		}
	}
	g.mu.Lock()
	maps.Copy(a.effects, g.effectCounts)
	g.mu.Unlock()
	for _, r := range g.Runs() {
		a.checkRun(r)
	}
	a.checkResponses(requests)
	return a.breaches
}

// audit collects breaches.
type audit struct {
	requests map[string]Request
	runs     map[string][]Run
	// first holds the id of the first statement that was run of each client's transaction.
	first map[uint64]string
	// transactions holds the client's transaction by the member's.
	transactions map[uint64]uint64
	effects      map[string]int
	breaches     []Breach
}

func (a *audit) reportf(rule Rule, id, format string, values ...any) {
	a.breaches = append(a.breaches, Breach{rule, id, fmt.Sprintf(format, values...)})
}

// checkRun compares a run with the request of its id.
func (a *audit) checkRun(r Run) {
	q, sent := a.requests[r.ID]
	switch {
	case !sent:
		a.reportf(Unasked, r.ID, "no client sent %q", r.Call)
		return
	case r.Word != q.Word || r.Arguments != q.Arguments:
		a.reportf(Unasked, r.ID, "sent %q, ran %q", q.Call, r.Call)
	case r.Prepared != q.Prepared:
		a.reportf(Pinned, r.ID, "prepared %q, ran %q", q.Prepared, r.Prepared)
	}
	if !maps.Equal(r.Values, q.Values) {
		a.reportf(Pinned, r.ID, "session values %q, ran with %q", q.Values, r.Values)
	}
	owner, known := a.transactions[r.Transaction]
	switch {
	case (r.Transaction == 0) != (q.Transaction == 0):
		a.reportf(Pinned, r.ID, "transaction %d of the client, ran in transaction %d of %s", q.Transaction, r.Transaction, r.Member)
	case r.Transaction == 0:
	case known && owner != q.Transaction:
		a.reportf(Pinned, r.ID, "ran in transaction %d of %s, which is that of another client", r.Transaction, r.Member)
	case !a.ranIn(a.first[q.Transaction], r.Transaction):
		a.reportf(Pinned, r.ID, "ran in transaction %d of %s, in which the first statement did not run", r.Transaction, r.Member)
	}
	if r.Transaction != 0 && !known {
		a.transactions[r.Transaction] = q.Transaction
	}
}

// ranIn reports whether the statement ran in the member's transaction.
func (a *audit) ranIn(id string, transaction uint64) bool {
	return slices.ContainsFunc(a.runs[id], func(r Run) bool { return r.Transaction == transaction })
}

// checkResponses compares the responses of clients with the runs and their effects.
func (a *audit) checkResponses(requests []Request) {
	refused := map[uint64]string{}
	for _, q := range requests {
		if q.Transaction != 0 && q.Response.Promises() {
			refused[q.Transaction] = q.Response.Code
		}
		switch {
		case errors.Is(q.Err, ErrMisplacedMessage):
			a.reportf(Mixed, q.ID, "%q: %v", q.Text, q.Err)
		case q.Word == "EXECUTE" && q.Response.Code == "NOSTMT":
			a.reportf(Pinned, q.ID, "%q, prepared as %q, was answered with %+q", q.Text, q.Prepared, q.Response)
		case q.Err != nil || q.Response.Code != "":
		case q.Word == "":
			if q.Response.Signature != "-" || len(q.Response.Rows) > 0 {
				a.reportf(Mixed, q.ID, "%q was answered with %+q", q.Text, q.Response)
			}
		case !slices.ContainsFunc(a.runs[q.ID], func(r Run) bool {
			return r.Signature == q.Response.Signature && slices.Equal(r.Rows, q.Response.Rows)
		}):
			a.reportf(Mixed, q.ID, "%q was answered with %+q", q.Text, q.Response)
		}
	}
	for _, q := range requests {
		code := refused[q.Transaction]
		if q.Transaction == 0 && q.Response.Promises() {
			code = q.Response.Code
		}
		if code != "" && a.effects[q.ID] > 0 {
			a.reportf(Refused, q.ID, "%q was committed, but the client was told %s", q.Text, code)
		}
		if a.effects[q.ID] > 1 {
			a.reportf(Twice, q.ID, "%q took effect %d times", q.Text, a.effects[q.ID])
		}
	}
}
