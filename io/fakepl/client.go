package fakepl

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// lastStatementID makes the ids of statements unique.
var lastStatementID atomic.Uint64

// Client is a caller's session in lines.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Response is the answer to one statement.
type Response struct {
	ID   string
	Rows []string
	// Signature is empty for errors, whose Code and Text are set.
	Signature  string
	Code, Text string
	State      string
}

// Dial opens a session.
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
		return nil, fmt.Errorf("refused: %s %s", a.Code, a.Text)
	}
	return c, nil
}

// SessionOpens reports whether a session opens for the name.
func SessionOpens(address, database string) bool {
	c, err := Dial(address, database)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// StatementSucceeds reports whether a session opens for the name and the statement succeeds there.
func StatementSucceeds(address, database, statement string) bool {
	c, err := Dial(address, database)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(statement)
	return err == nil && a.Code == ""
}

// Query runs one statement.
func (c *Client) Query(text string) (Response, error) {
	id := fmt.Sprintf("%016x", lastStatementID.Add(1))
	return c.roundTrip("QUERY "+id+" "+text, id)
}

// SendLine sends a line as it is and waits for the answer.
func (c *Client) SendLine(line string) (Response, error) { return c.roundTrip(line, "") }

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }

// responseTimeout bounds the wait for an answer; routes limit statements to 800 ms.
const responseTimeout = 6 * time.Second

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
		word, rest, _ := strings.Cut(strings.TrimRight(text, "\r\n"), " ")
		switch word {
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
