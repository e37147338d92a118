package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// revisionResponse is the platform's answer to a write.
type revisionResponse struct {
	Revision *types.Revision `json:"revision"`
}

// Put writes the value when the key still has the expected revision; zero expects that the key does not exist.
// On a conflict it returns the present revision with a fault of kind RevisionConflict.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, expected types.Revision,
) (types.Revision, error) {
	c.calls.Puts.Add(1)
	if len(value) > maxValueBytes {
		f := fault.New(fault.InvalidSettings, fmt.Sprintf("a value of %d bytes for %s is longer than %d", len(value), key, maxValueBytes))
		return 0, f
	}
	return c.write(ctx, call{method: http.MethodPut, path: expectedPath(key, expected), body: value, responseLimit: maxResponseBytes})
}

// Delete removes the key when it still has the expected revision; conflicts are reported as by Put.
func (c *Client) Delete(ctx context.Context, key string, expected types.Revision) (types.Revision, error) {
	c.calls.Deletes.Add(1)
	return c.write(ctx, call{method: http.MethodDelete, path: expectedPath(key, expected), responseLimit: maxResponseBytes})
}

func expectedPath(key string, expected types.Revision) string {
	return keyPath(key) + "?expected=" + expected.String()
}

func (c *Client) write(ctx context.Context, one call) (types.Revision, error) {
	got, err := c.do(ctx, one)
	if err != nil {
		return 0, err
	}
	switch got.status {
	case http.StatusOK:
		return c.decodeRevision(one, got)
	case http.StatusConflict:
		return c.conflict(one, got)
	default:
		return 0, c.unexpectedStatus(one, got)
	}
}

func (c *Client) decodeRevision(one call, got platformResponse) (types.Revision, error) {
	var decoded revisionResponse
	if err := json.Unmarshal(got.body, &decoded); err != nil || decoded.Revision == nil || *decoded.Revision == 0 {
		return 0, c.malformed(one, "the answer to a write lacks its revision")
	}
	c.recordSuccess()
	return *decoded.Revision, nil
}

func (c *Client) conflict(one call, got platformResponse) (types.Revision, error) {
	c.calls.Conflicts.Add(1)
	var decoded revisionResponse
	if err := json.Unmarshal(got.body, &decoded); err != nil || decoded.Revision == nil {
		return 0, c.malformed(one, "the answer to a conflicting write lacks the present revision")
	}
	c.recordSuccess()
	detail := fmt.Sprintf("%s %s: the present revision is %s", one.method, one.path, *decoded.Revision)
	return *decoded.Revision, fault.New(fault.RevisionConflict, detail)
}
