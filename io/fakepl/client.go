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
	a, err := c.roundTrip("STARTUP "+database+" u1", "")
	if err != nil {
		c.Close()
		return nil, err
	}
	if a.Code != "" {
		c.Close()
		return nil, fmt.Errorf("session refused: %s %s", a.Code, a.Text)
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
	a, err := c.Query(statement)
	return err == nil && a.Code == ""
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

// responseTimeout limits the wait for a response. Routes limit statements to 800 ms.
const responseTimeout = 6 * time.Second

// roundTrip sends a line and reads its response up to READY. A connection that ends after an ERROR is no failure.
func (c *Client) roundTrip(line, id string) (Response, error) {
	a := Response{ID: id}
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return a, err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, err
	}
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			if a.Code != "" {
				return a, nil
			}
			return a, err
		}
		keyword, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch keyword {
		case "DATAROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, a.Text, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("unexpected message %q", text)
		}
	}
}
