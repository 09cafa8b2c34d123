// Package stagecall calls stage endpoints: it runs the batches that the
// gateway forms and frees results.
package stagecall

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/batching"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/platform"
)

const (
	// freeTimeout bounds the call that frees results: it needs no turn.
	freeTimeout = time.Second
	// freePause collects the results that are freed at one endpoint.
	freePause = 10 * time.Millisecond
	// maxReply bounds a reply: a handle for each piece.
	maxReply = 1 << 20
)

// Config sets up a Caller.
type Config struct {
	HTTPClient *h1.Client
	// OnReply and Failed report the end of a call.
	OnReply  func(batching.CallID, batching.Reply)
	OnFailed func(batching.CallID, batching.CallFailure, string)
	// OnFreed reports results that their endpoint has given up.
	OnFreed func([]message.ResultHandle)
	// OnInspected reports the room for results at an endpoint.
	OnInspected func(ident.Endpoint, int)
	LogEvent    func(name string, fields ...any)
}

// Client calls stage endpoints.
type Client struct {
	config  Config
	mutex   sync.Mutex
	freeing map[string][]message.ResultHandle
}

// NewClient returns a caller without calls.
func NewClient(c Config) *Client {
	return &Client{config: c, freeing: map[string][]message.ResultHandle{}}
}

// StartCall starts a call. It does not block.
func (c *Client) StartCall(call batching.Call) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		defer cancel()
		c.exchange(ctx, call)
	}()
}

func (c *Client) exchange(ctx context.Context, call batching.Call) {
	response, err := c.send(ctx, call.Address, platform.EncodeStageCall(call))
	if err != nil {
		failure := batching.CallBroken
		if h1.NothingWritten(err) {
			failure = batching.EndpointUnreachable
		}
		c.config.OnFailed(call.ID, failure, err.Error())
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	taken, failure := platform.ReadStageResponseHead(response.Response)
	if !taken {
		c.config.OnFailed(call.ID, failure, response.Status)
		return
	}
	if err != nil {
		c.config.OnFailed(call.ID, batching.CallBroken, err.Error())
		return
	}
	reply, err := platform.DecodeStageReply(body)
	if err != nil {
		c.config.OnFailed(call.ID, batching.CallBroken, err.Error())
		return
	}
	c.config.OnReply(call.ID, reply)
}

func (c *Client) send(ctx context.Context, address string, call platform.HTTPCall) (*h1.Response, error) {
	response, err := c.config.HTTPClient.Do(ctx, h1.Request{
		Address: address,
		Method:  call.Method,
		Target:  call.Path,
		Host:    address,
		Header:  call.Header,
		Body:    call.Body,
	})
	return response, errors.Trace(err)
}

// FreeResults gives results back. Those of one endpoint that come within a short
// while go in one call.
func (c *Client) FreeResults(address string, handles []message.ResultHandle) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.freeing[address]
	c.freeing[address] = append(waiting, handles...)
	if len(waiting) == 0 {
		time.AfterFunc(freePause, func() { c.free(address) })
	}
}

func (c *Client) free(address string) {
	c.mutex.Lock()
	handles := c.freeing[address]
	delete(c.freeing, address)
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	response, err := c.send(ctx, address, platform.EncodeFreeCall(handles))
	if err != nil {
		// The endpoint drops the results by itself after its keep time.
		c.config.LogEvent("freeFailed", "address", address, "results", len(handles), "reason", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.config.LogEvent("freeFailed", "address", address, "results", len(handles), "reason", response.Status)
		return
	}
	c.config.OnFreed(handles)
}

// InspectEndpoint asks an endpoint how much room for results it has. It does not
// block.
func (c *Client) InspectEndpoint(name ident.Endpoint, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		free, err := c.room(ctx, address)
		if err != nil {
			c.config.LogEvent("inspectionFailed", "endpoint", name, "reason", err)
			return
		}
		c.config.OnInspected(name, free)
	}()
}

func (c *Client) room(ctx context.Context, address string) (int, error) {
	response, err := c.send(ctx, address, platform.EncodeReportCall())
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return 0, errors.Trace(err)
	}
	return platform.DecodeFreeCapacityBytes(body)
}
