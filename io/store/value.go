package store

import (
	"context"
	"encoding/json"
	"net/http"

	"turmericpulley/core/types"
)

// valueResponse is the body of the platform's response to reading a key.
type valueResponse struct {
	Key      string         `json:"key"`
	Value    *string        `json:"value"`
	Revision types.Revision `json:"revision"`
}

// Get returns the value of a key and the revision of its last change; found is false when the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (value []byte, revision types.Revision, found bool, err error) {
	c.calls.Gets.Add(1)
	call := storeCall{method: http.MethodGet, path: keyPath(key), responseLimit: maxResponseBytes}
	response, err := c.do(ctx, call)
	if err != nil {
		return nil, 0, false, err
	}
	switch response.status {
	case http.StatusOK:
		value, revision, err = c.decodeValue(call, key, response)
		return value, revision, err == nil, err
	case http.StatusNotFound:
		c.recordSuccess()
		return nil, 0, false, nil
	default:
		return nil, 0, false, c.unexpectedStatus(call, response)
	}
}

func (c *Client) decodeValue(call storeCall, key string, response platformResponse) ([]byte, types.Revision, error) {
	var decoded valueResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil {
		return nil, 0, c.malformed(call, "the response is not a JSON value: "+err.Error())
	}
	if decoded.Key != key || decoded.Value == nil || decoded.Revision == 0 {
		return nil, 0, c.malformed(call, "the response has no value or no revision, or belongs to another key")
	}
	c.recordSuccess()
	return []byte(*decoded.Value), decoded.Revision, nil
}
