package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// request is a statement that a client sent.
type request struct {
	id, text string
	client   *client
	sentAt   time.Time
	// began is when the first byte of the transaction, or of the statement, was sent.
	began  time.Time
	tx     string
	route  route
	values map[string]string
	shape  string
	answer answer
	// answered is when the answer came, zero if none did.
	answered time.Time
}

// answer is the answer to a statement; a code of CLOSED means that the connection ended without one.
type answer struct {
	code, text, signature, state, position string
	rows                                   []string
}

// client is a session.
type client struct {
	bed      *bed
	instance *instance
	route    route
	conn     net.Conn
	reader   *bufio.Reader
	state    string
	values   map[string]string
	prepared map[string]string
	tx       string
	began    time.Time
	quiet    bool
}

func (b *bed) dial(i *instance, r route) (*client, error) {
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{
		bed: b, instance: i, route: r, conn: conn, reader: bufio.NewReaderSize(conn, 4096), state: "I", values: map[string]string{},
		prepared: map[string]string{},
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = fmt.Fprintf(conn, "STARTUP %s u%x\r\n", r.name, rand.Uint32()); err == nil {
		var line string
		if line, err = readLine(c.reader); err == nil && !strings.HasPrefix(line, "READY") {
			err = fmt.Errorf("refused: %s", line)
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// ask sends a statement and waits for its answer.
func (c *client) ask(text string) answer { return c.askFor(text, 5*time.Second) }

func (c *client) askFor(text string, patience time.Duration) answer {
	b := c.bed
	verb, rest, _ := strings.Cut(text, " ")
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), text: text, client: c, sentAt: time.Now(), route: c.route, values: map[string]string{}}
	for name, value := range c.values {
		q.values[name] = value
	}
	if verb == "EXECUTE" {
		name, _, _ := strings.Cut(rest, " ")
		q.shape = c.prepared[name]
	}
	if verb == "BEGIN" && c.state == "I" {
		c.tx, c.began = q.id, q.sentAt
	}
	q.tx, q.began = c.tx, q.sentAt
	if c.tx != "" {
		q.began = c.began
	}
	b.mu.Lock()
	b.sent[q.id] = q
	b.mu.Unlock()
	a := c.exchange(q, patience)
	b.mu.Lock()
	q.answer = a
	if a.code != "CLOSED" {
		q.answered = time.Now()
	}
	b.mu.Unlock()
	if !c.quiet {
		shown := text
		if len(shown) > 60 {
			shown = shown[:60]
		}
		b.record(c.instance.name, c.route.name, q.id, shown, "->", a.code, a.text, a.signature, a.state, a.position)
	}
	if a.code == "" {
		switch verb {
		case "SET":
			name, value, _ := strings.Cut(rest, " ")
			c.values[name] = value
		case "PARSE":
			name, shape, _ := strings.Cut(rest, " ")
			c.prepared[name] = shape
		}
	}
	c.state = a.state
	if a.state == "I" || a.code == "CLOSED" {
		c.tx = ""
	}
	return a
}

func (c *client) exchange(q *request, patience time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	a := answer{}
	if _, err := c.conn.Write([]byte("QUERY " + q.id + " " + q.text + "\r\n")); err != nil {
		return answer{code: "CLOSED", text: err.Error()}
	}
	for {
		line, err := readLine(c.reader)
		if err != nil {
			return answer{code: "CLOSED", text: err.Error()}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

func (b *bed) addRun(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.id] = append(b.runs[r.id], r)
}
