package admin

import (
	"net/http"
	"time"

	"turmericpulley/io/store"
)

// Client acts for one operator.
type Client struct {
	settings Settings
	store    *store.Client
	http     *http.Client
}

// New returns a client with the settings.
func New(settings Settings) (*Client, error) {
	if settings.Timeout <= 0 {
		settings.Timeout = DefaultTimeout
	}
	platform, err := store.New(store.Settings{
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
		store:    platform,
		http:     &http.Client{Transport: transport, Timeout: instanceTimeout},
	}, nil
}

// Close releases the connections of the client.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return c.store.Close()
}
