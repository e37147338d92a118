package store

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"turmericpulley/core/fault"
)

const (
	dialTimeout       = time.Second
	keepAliveInterval = 15 * time.Second
	idleConnTimeout   = 30 * time.Second
	maxIdleConns      = 4
)

// Client calls the key-value service of the platform. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	logger    hclog.Logger
	transport *http.Transport
	http      *http.Client
	// down is true from the first failed call until the next successful one.
	down  atomic.Bool
	calls Calls
}

// New returns a client of the platform that the settings name.
func New(settings Settings) (*Client, error) {
	settings = settings.withDefaults()
	base, err := url.Parse(settings.Platform)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return nil, fault.New(fault.InvalidSettings, "platform URL "+settings.Platform+" is not like http://127.0.0.1:8500")
	}
	dialer := &net.Dialer{Timeout: min(dialTimeout, settings.Timeout), KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	client := &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return &Client{
		base:      strings.TrimSuffix(base.String(), "/"),
		timeout:   settings.Timeout,
		logger:    settings.Logger,
		transport: transport,
		http:      client,
	}, nil
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Calls returns the counters of the calls of this client.
func (c *Client) Calls() *Calls { return &c.calls }

// Close closes the idle connections.
func (c *Client) Close() error {
	c.transport.CloseIdleConnections()
	return nil
}

// recordSuccess records a usable response of the platform.
func (c *Client) recordSuccess() {
	if c.down.CompareAndSwap(true, false) {
		c.logger.Info("calls to the platform's store succeed again")
	}
}

// recordFailure counts a call without a usable response. It closes the idle connections, because they may be
// unresponsive. A call that its caller cancelled says nothing about the platform and is not counted.
func (c *Client) recordFailure(reason error) {
	if errors.Is(reason, context.Canceled) {
		return
	}
	c.calls.Failures.Add(1)
	c.transport.CloseIdleConnections()
	if c.down.CompareAndSwap(false, true) {
		c.logger.Warn("calls to the platform's store fail", "error", reason)
	}
}
