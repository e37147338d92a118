package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"turmericpulley/core/fault"
	"turmericpulley/core/types"
)

// revisionResponse is the body of the platform's response to a write.
type revisionResponse struct {
	Revision *types.Revision `json:"revision"`
}

// Put writes the value if the key still has the expected revision, and returns the new revision. An expected revision of
// zero means that the key must not exist. When the key has another revision, Put returns that revision and a fault of
// kind fault.RevisionConflict. A value that is too long for the platform is not sent; the fault is of kind
// fault.InvalidSettings.
func (c *Client) Put(
	ctx context.Context, key string, value []byte, expected types.Revision,
) (types.Revision, error) {
	c.calls.Puts.Add(1)
	if len(value) > maxValueBytes {
		f := fault.New(fault.InvalidSettings, fmt.Sprintf("a value of %d bytes for %s is longer than %d", len(value), key, maxValueBytes))
		return 0, f
	}
	return c.write(ctx, storeCall{method: http.MethodPut, path: writePath(key, expected), body: value, responseLimit: maxResponseBytes})
}

// Delete deletes the key if it still has the expected revision, and returns the revision of the deletion.
// It reports a conflict as Put does.
func (c *Client) Delete(ctx context.Context, key string, expected types.Revision) (types.Revision, error) {
	c.calls.Deletes.Add(1)
	return c.write(ctx, storeCall{method: http.MethodDelete, path: writePath(key, expected), responseLimit: maxResponseBytes})
}

// writePath returns the URL path and query of a write that requires the expected revision.
func writePath(key string, expected types.Revision) string {
	return keyPath(key) + "?expected=" + expected.String()
}

func (c *Client) write(ctx context.Context, call storeCall) (types.Revision, error) {
	response, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	switch response.status {
	case http.StatusOK:
		return c.decodeRevision(call, response)
	case http.StatusConflict:
		return c.conflict(call, response)
	default:
		return 0, c.unexpectedStatus(call, response)
	}
}

func (c *Client) decodeRevision(call storeCall, response platformResponse) (types.Revision, error) {
	var decoded revisionResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil || decoded.Revision == nil || *decoded.Revision == 0 {
		return 0, c.malformed(call, "the response to a write has no revision")
	}
	c.recordSuccess()
	return *decoded.Revision, nil
}

func (c *Client) conflict(call storeCall, response platformResponse) (types.Revision, error) {
	c.calls.Conflicts.Add(1)
	var decoded revisionResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil || decoded.Revision == nil {
		return 0, c.malformed(call, "the response to a conflicting write does not contain the present revision")
	}
	c.recordSuccess()
	detail := fmt.Sprintf("%s %s: the present revision is %s", call.method, call.path, *decoded.Revision)
	return *decoded.Revision, fault.New(fault.RevisionConflict, detail)
}
