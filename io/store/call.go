package store

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"turmericpulley/core/fault"
)

const (
	// maxValueBytes is the longest value that the platform holds.
	maxValueBytes = 1_000_000
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 2 << 20
	// maxListBytes bounds the body of a listing, which holds many values.
	maxListBytes = 32 << 20
)

// call is one request to the platform.
type call struct {
	method string
	path   string
	body   []byte
	wait   time.Duration
	limit  int64
}

// answer is what came back from the platform.
type answer struct {
	status int
	body   []byte
}

// do sends the call and reads the whole answer, or fails with a fault that says what is known of its effect.
func (c *Client) do(ctx context.Context, one call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+one.wait)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), one.method, c.base+one.path, bytes.NewReader(one.body))
	if err != nil {
		return answer{}, errors.Wrap(err, "preparing a call to the platform")
	}
	got, err := c.roundTrip(request, one.limit)
	if err != nil {
		return answer{}, c.unavailable(one, err, connected.Load())
	}
	return got, nil
}

func (c *Client) roundTrip(request *http.Request, limit int64) (answer, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return answer{}, errors.Wrap(err, "reading the answer")
	}
	if int64(len(body)) > limit {
		c.calls.Garbage.Add(1)
		return answer{}, errors.Errorf("the answer is longer than %d bytes", limit)
	}
	return answer{status: response.StatusCode, body: body}, nil
}

// unavailable reports a call without a usable answer; only a call that never had a connection is known not to have run.
func (c *Client) unavailable(one call, reason error, sent bool) error {
	c.failed(reason)
	f := fault.New(fault.StoreUnavailable, one.method+" "+one.path+": "+reason.Error())
	f.Outcome = fault.NotRun
	if sent && one.writes() {
		f.Outcome = fault.Unknown
		c.calls.Lost.Add(1)
	}
	return f
}

// garbage reports an answer that could not be understood.
func (c *Client) garbage(one call, reason string) error {
	c.calls.Garbage.Add(1)
	return c.unavailable(one, errors.New(reason), true)
}

// refused reports a status that the call does not expect.
func (c *Client) refused(one call, got answer) error {
	return c.unavailable(one, errors.Errorf("the platform answered with status %d", got.status), true)
}

func (c call) writes() bool { return c.method != http.MethodGet }
