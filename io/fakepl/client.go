package fakepl

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// ids makes the ids of statements unique.
var ids atomic.Uint64

// Client is a caller's session in lines.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Answer is the answer to one statement.
type Answer struct {
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
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	a, err := c.send("STARTUP "+database+" u1", "")
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

// Opens reports whether a session opens for the name.
func Opens(address, database string) bool {
	c, err := Dial(address, database)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// Serves reports whether a session opens for the name and the statement succeeds there.
func Serves(address, database, statement string) bool {
	c, err := Dial(address, database)
	if err != nil {
		return false
	}
	defer c.Close()
	a, err := c.Query(statement)
	return err == nil && a.Code == ""
}

// Query runs one statement.
func (c *Client) Query(text string) (Answer, error) {
	id := fmt.Sprintf("%016x", ids.Add(1))
	return c.send("QUERY "+id+" "+text, id)
}

// Raw sends a line as it is and waits for the answer.
func (c *Client) Raw(line string) (Answer, error) { return c.send(line, "") }

// Close ends the session.
func (c *Client) Close() { _ = c.conn.Close() }

// answerTimeout bounds the wait for an answer; routes limit statements to 800 ms.
const answerTimeout = 6 * time.Second

func (c *Client) send(line, id string) (Answer, error) {
	a := Answer{ID: id}
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return a, err
	}
	if _, err := c.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, err
	}
	for {
		text, err := c.in.ReadString('\n')
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
