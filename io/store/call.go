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
	"turmericpulley/io/sock"
)

const (
	// maxValueBytes is the size of the largest value that the platform stores.
	maxValueBytes = 1_000_000
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 2 << 20
	// maxListBytes bounds the body of a response that lists many values.
	maxListBytes = 32 << 20
	// answerTimeout bounds a whole response. A list of 10,000 contracts takes a few seconds over 10 Mbit/s.
	answerTimeout = 30 * time.Second
)

// storeCall is one request to the platform.
type storeCall struct {
	method        string
	path          string
	body          []byte
	wait          time.Duration
	responseLimit int64
}

// platformResponse is the status and body of a response of the platform.
type platformResponse struct {
	status int
	body   []byte
}

// do sends the call and reads the whole response. A fault that it returns says whether the call may have taken effect.
func (c *Client) do(ctx context.Context, call storeCall) (platformResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout+call.wait)
	defer cancel()
	ctx, silence := sock.NewSilence(ctx, c.timeout+call.wait, c.timeout)
	defer silence.Stop()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(ctx, trace), call.method, c.base+call.path, bytes.NewReader(call.body))
	if err != nil {
		return platformResponse{}, errors.Wrap(err, "preparing a call to the platform")
	}
	response, err := c.roundTrip(request, silence, call.responseLimit)
	if err != nil {
		return platformResponse{}, c.unavailable(call, err, connected.Load())
	}
	return response, nil
}

func (c *Client) roundTrip(request *http.Request, silence *sock.Silence, limit int64) (platformResponse, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return platformResponse{}, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(silence.Begun(response.Body), limit+1))
	if err != nil {
		return platformResponse{}, errors.Wrap(err, "reading the response")
	}
	if int64(len(body)) > limit {
		c.calls.Malformed.Add(1)
		return platformResponse{}, errors.Errorf("the response is longer than %d bytes", limit)
	}
	return platformResponse{status: response.StatusCode, body: body}, nil
}

// unavailable records a call without a usable response and returns its fault. The outcome of a write is unknown once
// the call had a connection, because the write may have run.
func (c *Client) unavailable(call storeCall, reason error, connected bool) error {
	c.recordFailure(reason)
	f := fault.New(fault.StoreUnavailable, call.method+" "+call.path+": "+reason.Error())
	f.Outcome = fault.NotRun
	if connected && call.isWrite() {
		f.Outcome = fault.Unknown
		c.calls.OutcomesUnknown.Add(1)
	}
	return f
}

// malformed records a response that cannot be used and returns the fault of its call.
func (c *Client) malformed(call storeCall, reason string) error {
	c.calls.Malformed.Add(1)
	return c.unavailable(call, errors.New(reason), true)
}

// unexpectedStatus records a response with a status that the call does not expect and returns the fault of the call.
func (c *Client) unexpectedStatus(call storeCall, response platformResponse) error {
	return c.unavailable(call, errors.Errorf("the platform responded with status %d", response.status), true)
}

func (c storeCall) isWrite() bool { return c.method != http.MethodGet }
