package store

import (
	"context"
	"encoding/json"
	"net/http"

	"turmericpulley/core/fleet"
)

// Targets returns the platform's list of instances and targets, which shows changes with a delay.
func (c *Client) Targets(ctx context.Context) ([]fleet.ListEntry, error) {
	c.calls.Targets.Add(1)
	call := storeCall{method: http.MethodGet, path: "/v1/targets", responseLimit: maxListBytes}
	response, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	if response.status != http.StatusOK {
		return nil, c.unexpectedStatus(call, response)
	}
	var listed []fleet.ListEntry
	if err := json.Unmarshal(response.body, &listed); err != nil {
		return nil, c.malformed(call, "the response is not a list of targets: "+err.Error())
	}
	for _, entry := range listed {
		if entry.ID == "" || entry.Address == "" {
			return nil, c.malformed(call, "the list of targets has an entry without an id or address")
		}
	}
	c.recordSuccess()
	return listed, nil
}
