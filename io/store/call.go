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
	// maxResponseBytes bounds the body of an answer.
	maxResponseBytes = 2 << 20
	// maxListBytes bounds the body of a listing, which holds many values.
	maxListBytes = 32 << 20
)

// call is one request to the platform.
type call struct {
	method        string
	path          string
	body          []byte
	wait          time.Duration
	responseLimit int64
}

// platformResponse is what came back from the platform.
type platformResponse struct {
	status int
	body   []byte
}

// do sends the call and reads the whole answer, or fails with a fault that says what is known of its effect.
func (c *Client) do(ctx context.Context, one call) (platformResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+one.wait)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), one.method, c.base+one.path, bytes.NewReader(one.body))
	if err != nil {
		return platformResponse{}, errors.Wrap(err, "preparing a call to the platform")
	}
	got, err := c.roundTrip(request, one.responseLimit)
	if err != nil {
		return platformResponse{}, c.unavailable(one, err, connected.Load())
	}
	return got, nil
}

func (c *Client) roundTrip(request *http.Request, limit int64) (platformResponse, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return platformResponse{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return platformResponse{}, errors.Wrap(err, "reading the answer")
	}
	if int64(len(body)) > limit {
		c.calls.Malformed.Add(1)
		return platformResponse{}, errors.Errorf("the answer is longer than %d bytes", limit)
	}
	return platformResponse{status: response.StatusCode, body: body}, nil
}

// unavailable reports a call without a usable answer; only a call that never had a connection is known not to have run.
func (c *Client) unavailable(one call, reason error, sent bool) error {
	c.recordFailure(reason)
	f := fault.New(fault.StoreUnavailable, one.method+" "+one.path+": "+reason.Error())
	f.Outcome = fault.NotRun
	if sent && one.isWrite() {
		f.Outcome = fault.Unknown
		c.calls.OutcomesUnknown.Add(1)
	}
	return f
}

// malformed reports an answer that could not be understood.
func (c *Client) malformed(one call, reason string) error {
	c.calls.Malformed.Add(1)
	return c.unavailable(one, errors.New(reason), true)
}

// unexpectedStatus reports a status that the call does not expect.
func (c *Client) unexpectedStatus(one call, got platformResponse) error {
	return c.unavailable(one, errors.Errorf("the platform answered with status %d", got.status), true)
}

func (c call) isWrite() bool { return c.method != http.MethodGet }
