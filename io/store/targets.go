package store

import (
	"context"
	"encoding/json"
	"net/http"

	"turmericpulley/core/fleet"
)

// Targets reads the platform's lagging list of instances and targets.
func (c *Client) Targets(ctx context.Context) ([]fleet.ListEntry, error) {
	c.calls.Targets.Add(1)
	one := call{method: http.MethodGet, path: "/v1/targets", responseLimit: maxListBytes}
	got, err := c.do(ctx, one)
	if err != nil {
		return nil, err
	}
	if got.status != http.StatusOK {
		return nil, c.unexpectedStatus(one, got)
	}
	var listed []fleet.ListEntry
	if err := json.Unmarshal(got.body, &listed); err != nil {
		return nil, c.malformed(one, "the answer is no list of targets: "+err.Error())
	}
	for _, line := range listed {
		if line.ID == "" || line.Address == "" {
			return nil, c.malformed(one, "the list of targets holds a line without id or address")
		}
	}
	c.recordSuccess()
	return listed, nil
}
