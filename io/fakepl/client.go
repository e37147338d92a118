package fakepl

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastStatementID is the number of the last statement id that a client used.
var lastStatementID atomic.Uint64

// Client is a caller's session over the line protocol.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Response is the response to one statement.
type Response struct {
	ID   string
	Rows []string
	// Signature is empty if the statement failed; then Code and Text are set.
	Signature  string
	Code, Text string
	// State is the transaction state: I outside a transaction, T inside one, E inside one that has failed.
	State string
}

// Dial opens a session of user u1 for the database.
func Dial(address, database string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, reader: bufio.NewReader(conn)}
	r, err := c.roundTrip("STARTUP "+database+" u1", "")
	if err != nil {
		c.Close()
		return nil, err
	}
	if r.Code != "" {
		c.Close()
		return nil, fmt.Errorf("session refused: %s %s", r.Code, r.Text)
	}
	return c, nil
}

// SessionOpens reports whether a session for the database can be opened.
func SessionOpens(address, database string) bool {
	c, err := Dial(address, database)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// StatementSucceeds reports whether a session for the database can be opened and the statement succeeds in it.
func StatementSucceeds(address, database, statement string) bool {
	c, err := Dial(address, database)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := c.Query(statement)
	return err == nil && r.Code == ""
}

// Query runs one statement under a new id.
func (c *Client) Query(text string) (Response, error) {
	id := fmt.Sprintf("%016x", lastStatementID.Add(1))
	return c.roundTrip("QUERY "+id+" "+text, id)
}

// SendLine sends a line unchanged and waits for the response.
func (c *Client) SendLine(line string) (Response, error) { return c.roundTrip(line, "") }

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }

// responseTimeout limits the wait for a response. The routes that tests configure limit statements to 800 or 1000 ms.
const responseTimeout = 6 * time.Second

// roundTrip sends a line and reads its response up to READY. When the connection ends after an ERROR, the response is returned
// without an error.
func (c *Client) roundTrip(line, id string) (Response, error) {
	r := Response{ID: id}
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return r, err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return r, err
	}
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			if r.Code != "" {
				return r, nil
			}
			return r, err
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch keyword {
		case "DATAROW":
			r.Rows = append(r.Rows, rest)
		case "COMPLETE":
			r.Signature = rest
		case "ERROR":
			r.Code, r.Text, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %q", text)
		}
	}
}
