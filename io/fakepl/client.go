package fakepl

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lastStatementID is the number of the last statement id that a client used.
var lastStatementID atomic.Uint64

// Client is a caller's session over the line protocol.
type Client struct {
	// Observe, if it is set, is called with each statement that Query sent, after its response.
	Observe func(Request)

	conn net.Conn
	key  string
	// received holds the messages that have arrived. It is closed when the connection ends; readErr then says why.
	received chan string
	readErr  error
	closed   chan struct{}
	closing  sync.Once

	// values and prepared are those that were acknowledged; prepared holds the access and shape by name.
	values, prepared map[string]string
	transaction      uint64
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

// UserKey is the key with which Dial opens sessions.
const UserKey = "u1"

// Dial opens a session for the database with UserKey.
func Dial(address, database string) (*Client, error) { return DialAs(address, database, UserKey) }

// DialAs opens a session for the database with the key.
func DialAs(address, database, key string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{
		conn: conn, key: key, received: make(chan string), closed: make(chan struct{}), values: map[string]string{}, prepared: map[string]string{},
	}
	go c.receive()
	r, err := c.roundTrip("STARTUP "+database+" "+key, "")
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
	request := c.newRequest(id, text)
	r, err := c.roundTrip("QUERY "+id+" "+text, id)
	c.track(text, r, err)
	if c.Observe != nil {
		request.Response, request.Err = r, err
		c.Observe(request)
	}
	return r, err
}

// SendLine sends a line unchanged and waits for the response.
func (c *Client) SendLine(line string) (Response, error) { return c.roundTrip(line, "") }

// Close ends the session.
func (c *Client) Close() {
	c.closing.Do(func() {
		close(c.closed)
		_ = c.conn.Close()
	})
}

// receive reads messages until the connection ends.
func (c *Client) receive() {
	defer close(c.received)
	reader := bufio.NewReader(c.conn)
	for {
		message, err := readMessage(reader)
		if err != nil {
			c.readErr = err
			return
		}
		select {
		case c.received <- message:
		case <-c.closed:
			c.readErr = net.ErrClosed
			return
		}
	}
}

// responseTimeout limits the wait for a response. The routes that tests configure limit statements to 800 or 1000 ms.
const responseTimeout = 6 * time.Second

var (
	errNoResponse = errors.New("no response in time")
	// ErrMisplacedMessage means that a message arrived that is no part of the response to a request.
	ErrMisplacedMessage = errors.New("message that belongs to no response")
)

// roundTrip sends a line and reads its response up to READY. When the connection ends after an ERROR, the response is returned
// without an error.
func (c *Client) roundTrip(line, id string) (Response, error) {
	r := Response{ID: id}
	select {
	case message, open := <-c.received:
		if !open {
			return r, c.readErr
		}
		if !r.add(message) || r.Code == "" {
			return r, fmt.Errorf("%w: %q arrived while no request was outstanding", ErrMisplacedMessage, message)
		}
		return r, nil
	default:
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
		return r, err
	}
	if _, err := c.conn.Write([]byte(line + messageEnd)); err != nil {
		return r, err
	}
	timeout := time.NewTimer(responseTimeout)
	defer timeout.Stop()
	for r.State == "" {
		select {
		case message, open := <-c.received:
			switch {
			case !open && r.Code != "":
				return r, nil
			case !open:
				return r, c.readErr
			case !r.add(message):
				return r, fmt.Errorf("%w: %q after %+v", ErrMisplacedMessage, message, r)
			}
		case <-timeout.C:
			return r, errNoResponse
		}
	}
	if opens := strings.HasPrefix(line, "STARTUP "); opens == (r.Signature != "" || r.Code != "") {
		return r, fmt.Errorf("%w: READY after %+v", ErrMisplacedMessage, r)
	}
	return r, nil
}

// states are the transaction states that a READY message can name.
var states = []string{"I", "T", "E"}

// add adds a message to the response. It returns false if the response cannot go on with the message.
func (r *Response) add(message string) bool {
	word, rest, hasFields := strings.Cut(message, " ")
	ended := r.Signature != "" || r.Code != ""
	switch {
	case !hasFields:
		return false
	case word == "READY":
		state, position, _ := strings.Cut(rest, " ")
		r.State = state
		return slices.Contains(states, state) && position != "" && !strings.Contains(position, " ")
	case ended:
		return false
	case word == "DATAROW":
		r.Rows = append(r.Rows, rest)
		return true
	case word == "COMPLETE":
		r.Signature = rest
		return rest != ""
	case word == "ERROR":
		r.Code, r.Text, _ = strings.Cut(rest, " ")
		return r.Code != ""
	default:
		return false
	}
}
