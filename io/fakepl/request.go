package fakepl

import (
	"maps"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a statement that a client sent, with what had been acknowledged to the client before.
type Request struct {
	ID, Text string
	// Key is that of the client's session, and SentAt when the statement was sent.
	Key    string
	SentAt time.Time
	// Call is empty for statements that the proxy may answer itself.
	Call
	Values map[string]string
	// Transaction is the number of the client's transaction; 0 outside transactions.
	Transaction uint64
	Response    Response
	Err         error
}

// lastTransaction is the number of the last transaction that a client began.
var lastTransaction atomic.Uint64

// newRequest returns the request for the statement.
func (c *Client) newRequest(id, text string) Request {
	call, _ := parseCall(text, c.prepared)
	return Request{ID: id, Text: text, Key: c.key, SentAt: time.Now(), Call: call, Values: maps.Clone(c.values), Transaction: c.transaction}
}

// track records what the response to the statement acknowledges.
func (c *Client) track(text string, r Response, err error) {
	if r.State == "I" {
		c.transaction = 0
	}
	if err != nil || r.Code != "" {
		return
	}
	word, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch word {
	case "BEGIN":
		c.transaction = lastTransaction.Add(1)
	case "SET":
		c.values[name] = value
	case "PARSE":
		c.prepared[name] = value
	case "CLOSE":
		delete(c.prepared, rest)
	}
}
