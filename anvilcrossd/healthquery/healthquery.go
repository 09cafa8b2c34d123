// Package healthquery asks endpoints on their health paths whether they are cold.
package healthquery

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/platform"
)

// callTimeout limits a call. The next one follows soon.
const callTimeout = 300 * time.Millisecond

// Config sets up a Client.
type Config struct {
	HTTPClient *h1.Client
	// OnNotice receives what the process of an endpoint says of itself in a response, and how
	// long ago the call was sent.
	OnNotice func(p ident.EndpointProcess, n endpoints.Notice, sentAgo time.Duration)
	// LogEvent writes one log line; fields alternates keys and values.
	LogEvent func(name string, fields ...any)
}

// Client asks endpoints, each call in its own goroutine.
type Client struct{ config Config }

// NewClient returns a client.
func NewClient(c Config) *Client { return &Client{config: c} }

// Query asks the process of an endpoint at an address. It does not block.
func (c *Client) Query(p ident.EndpointProcess, address, path string) {
	go func() {
		if err := c.query(p, address, path); err != nil {
			c.config.LogEvent("healthQueryFailed", "endpoint", p.Endpoint, "reason", err)
		}
	}()
}

func (c *Client) query(p ident.EndpointProcess, address, path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call := platform.EncodeHealthCall(p.Endpoint, path)
	started := time.Now()
	response, err := c.config.HTTPClient.Do(ctx, h1.Request{Address: address, Method: call.Method, Target: call.Path, Host: address, Header: call.Header, SingleUse: true})
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusMisdirectedRequest {
		return errors.New("another endpoint has the address")
	}
	notice, err := platform.ReadNotice(response.Response)
	c.config.OnNotice(p, notice, time.Since(started))
	return errors.Trace(err)
}
