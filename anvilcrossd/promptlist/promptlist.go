// Package promptlist asks model endpoints which prompt parts they hold.
package promptlist

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/origin"
	"anvilcross/platform"
)

const (
	// callTimeout limits a call. Its result is of no use later.
	callTimeout = 300 * time.Millisecond
	// maxReplyBytes bounds a reply: tens of thousands of parts.
	maxReplyBytes = 1 << 20
)

// Config sets up a Client.
type Config struct {
	HTTPClient *h1.Client
	// Memory is the memory for replies.
	Memory *replymemory.Pool
	// OnListed receives what an endpoint says that it holds, or nil if the call failed.
	OnListed func(ident.Endpoint, *origin.PromptList)
	// OnNotice receives what the endpoint at an address says of itself in a response, and
	// how long ago the call was sent.
	OnNotice func(address string, n endpoints.Notice, sentAgo time.Duration)
	// LogEvent writes one log line; fields alternates keys and values.
	LogEvent func(name string, fields ...any)
}

// Client lists prompts, each call in its own goroutine.
type Client struct {
	config Config
	// decoding is held while a reply is decoded, which takes several times its size.
	decoding sync.Mutex
}

// NewClient returns a client.
func NewClient(c Config) *Client { return &Client{config: c} }

// List asks the endpoint at an address. It does not block.
func (c *Client) List(name ident.Endpoint, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		list, err := c.read(ctx, address)
		if err != nil {
			c.config.LogEvent("promptListFailed", "endpoint", name, "reason", err)
		}
		c.config.OnListed(name, list)
	}()
}

func (c *Client) read(ctx context.Context, address string) (*origin.PromptList, error) {
	call := platform.EncodePromptListCall()
	started := time.Now()
	response, err := c.config.HTTPClient.Do(ctx, h1.Request{Address: address, Method: call.Method, Target: call.Path, Host: address, Header: call.Header, SingleUse: true})
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	notice, err := platform.ReadNotice(response.Response)
	if err != nil {
		c.config.LogEvent("noticeRejected", "address", address, "reason", err)
	}
	c.config.OnNotice(address, notice, time.Since(started))
	reply, err := c.config.Memory.ReadAll(response.Body, maxReplyBytes)
	defer reply.Release()
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.decoding.Lock()
	defer c.decoding.Unlock()
	return platform.DecodePromptList(response.StatusCode, reply.Data)
}
