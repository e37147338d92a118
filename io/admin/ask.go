package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"turmericpulley/core/fleet"
)

// errNotFound reports that an instance has no answer to the question.
var errNotFound = errors.New("the instance knows nothing of it")

// getJSON reads the JSON answer of an instance into place.
func (c *Client) getJSON(ctx context.Context, instance fleet.Instance, path string, place any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.HTTPAddress+path, http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "preparing a question to instance %s", instance.ID)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "asking instance %s", instance.ID)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "reading the answer of instance %s", instance.ID)
	}
	if response.StatusCode == http.StatusNotFound {
		return errNotFound
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance %s answered with status %d", instance.ID, response.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(body, place), "reading the answer of instance %s", instance.ID)
}
