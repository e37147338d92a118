package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"turmericpulley/core/relay"
	"turmericpulley/core/types"
)

// listResponse is the body of the platform's response to a listing.
type listResponse struct {
	Revision *types.Revision `json:"revision"`
	Entries  []listedEntry   `json:"entries"`
}

// listedEntry is one changed key of a listing.
type listedEntry struct {
	Key      string         `json:"key"`
	Value    string         `json:"value"`
	Revision types.Revision `json:"revision"`
	Deleted  bool           `json:"deleted"`
}

// List returns all keys under the prefix that changed after the revision. If there are none, it waits at most the given
// time for the first change.
func (c *Client) List(
	ctx context.Context, prefix string, after types.Revision, wait time.Duration,
) (relay.Page, error) {
	c.calls.Lists.Add(1)
	path := fmt.Sprintf("/v1/kv?prefix=%s&after=%s&waitMs=%d", url.QueryEscape(prefix), after, wait.Milliseconds())
	call := storeCall{method: http.MethodGet, path: path, wait: wait, responseLimit: maxListBytes}
	response, err := c.do(ctx, call)
	if err != nil {
		return relay.Page{}, err
	}
	if response.status != http.StatusOK {
		return relay.Page{}, c.unexpectedStatus(call, response)
	}
	var decoded listResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil || decoded.Revision == nil {
		return relay.Page{}, c.malformed(call, "the response is not a listing")
	}
	if problem := decoded.problem(prefix, after); problem != "" {
		return relay.Page{}, c.malformed(call, problem)
	}
	c.recordSuccess()
	return decoded.page(), nil
}

// problem returns why the listing cannot be the response to the request, or an empty string when it can.
func (l listResponse) problem(prefix string, after types.Revision) string {
	if *l.Revision < after {
		return fmt.Sprintf("the store's revision %s is below %s, which it had before", *l.Revision, after)
	}
	for _, entry := range l.Entries {
		if !strings.HasPrefix(entry.Key, prefix) {
			return "the listing holds a key outside " + prefix
		}
		if entry.Revision <= after || entry.Revision > *l.Revision {
			return fmt.Sprintf("the listing holds a key of revision %s outside %s to %s", entry.Revision, after, *l.Revision)
		}
	}
	return ""
}

func (l listResponse) page() relay.Page {
	page := relay.Page{Revision: *l.Revision}
	for _, entry := range l.Entries {
		page.Entries = append(page.Entries, relay.Entry{
			Key:      entry.Key,
			Value:    []byte(entry.Value),
			Revision: entry.Revision,
			Deleted:  entry.Deleted,
		})
	}
	return page
}
