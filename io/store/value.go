package store

import (
	"context"
	"encoding/json"
	"net/http"

	"turmericpulley/core/types"
)

// valueResponse is the platform's answer to reading a key.
type valueResponse struct {
	Key      string         `json:"key"`
	Value    *string        `json:"value"`
	Revision types.Revision `json:"revision"`
}

// Get reads the value of a key and the revision of its last change.
func (c *Client) Get(ctx context.Context, key string) (value []byte, revision types.Revision, found bool, err error) {
	c.calls.Gets.Add(1)
	one := call{method: http.MethodGet, path: keyPath(key), responseLimit: maxResponseBytes}
	got, err := c.do(ctx, one)
	if err != nil {
		return nil, 0, false, err
	}
	switch got.status {
	case http.StatusOK:
		value, revision, err = c.decodeValue(one, key, got)
		return value, revision, err == nil, err
	case http.StatusNotFound:
		c.recordSuccess()
		return nil, 0, false, nil
	default:
		return nil, 0, false, c.unexpectedStatus(one, got)
	}
}

func (c *Client) decodeValue(one call, key string, got platformResponse) ([]byte, types.Revision, error) {
	var decoded valueResponse
	if err := json.Unmarshal(got.body, &decoded); err != nil {
		return nil, 0, c.malformed(one, "the answer is no JSON value: "+err.Error())
	}
	if decoded.Key != key || decoded.Value == nil || decoded.Revision == 0 {
		return nil, 0, c.malformed(one, "the answer lacks its value or is that of another key")
	}
	c.recordSuccess()
	return []byte(*decoded.Value), decoded.Revision, nil
}
