package admin

import (
	"net/http"
	"time"

	"turmericpulley/io/store"
)

// Client reads and changes contracts for one operator and queries the instances.
type Client struct {
	settings Settings
	store    *store.Client
	http     *http.Client
}

// New returns a client; a timeout of zero or less is replaced by DefaultTimeout.
func New(settings Settings) (*Client, error) {
	if settings.Timeout <= 0 {
		settings.Timeout = DefaultTimeout
	}
	storeClient, err := store.New(store.Settings{
		Platform: settings.Platform,
		Timeout:  min(storeTimeout, max(settings.Timeout/3, time.Millisecond)),
		Logger:   settings.Logger,
	})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &Client{
		settings: settings,
		store:    storeClient,
		http:     &http.Client{Transport: transport, Timeout: instanceTimeout},
	}, nil
}

// Close closes the connections of the client.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return c.store.Close()
}
