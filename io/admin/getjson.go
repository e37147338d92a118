package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
)

// errNotFound reports that an instance responded with status 404.
var errNotFound = errors.New("the instance has no data for this query")

// getJSON requests the path from an instance and decodes the JSON response into target.
func (c *Client) getJSON(ctx context.Context, instance fleet.Instance, path string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.HTTPAddress+path, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "creating a request to instance %s", instance.ID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "querying instance %s", instance.ID)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "reading the response of instance %s", instance.ID)
	}
	if response.StatusCode == http.StatusNotFound {
		return errNotFound
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance %s responded with status %d", instance.ID, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(body, target), "decoding the response of instance %s", instance.ID)
}
