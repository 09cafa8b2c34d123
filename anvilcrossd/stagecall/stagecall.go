// Package stagecall carries out the gateway's calls to stage endpoints: it sends
// the batches of pieces that the gateway's batcher forms, frees results, and asks
// for the free result capacity.
package stagecall

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/batching"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/platform"
)

const (
	// shortCallTimeout limits a call that frees results or inspects an endpoint.
	// Such a call does not wait in the endpoint's queue.
	shortCallTimeout = time.Second
	// freeDelay is the time for which results to free at one endpoint are
	// collected, so that one call frees them all.
	freeDelay = 10 * time.Millisecond
	// maxReplyBytes limits the size of a reply, which has a handle for each
	// piece.
	maxReplyBytes = 1 << 20
)

// Config sets up a Client.
type Config struct {
	HTTPClient *h1.Client
	// Memory is the memory for replies.
	Memory *replymemory.Pool
	// Each call ends with OnReply or OnFailed; the string is a detail for the
	// log.
	OnReply  func(batching.CallID, batching.Reply)
	OnFailed func(batching.CallID, batching.CallFailure, string)
	// OnFreed receives the results that their endpoint has freed.
	OnFreed func([]message.ResultHandle)
	// OnInspected receives an endpoint's free result capacity in bytes.
	OnInspected func(ident.Endpoint, int)
	// OnNotice receives what the endpoint at an address says of itself in a response, and
	// how long ago the call was sent.
	OnNotice func(address string, n endpoints.Notice, sentAgo time.Duration)
	// LogEvent writes one log line; fields alternates keys and values.
	LogEvent func(name string, fields ...any)
}

// Client calls stage endpoints. It is safe for concurrent use.
type Client struct {
	config Config
	mutex  sync.Mutex
	// pendingFrees holds, by address, the results that the next call to the
	// endpoint frees.
	pendingFrees map[string][]message.ResultHandle
}

// NewClient returns a client without pending calls.
func NewClient(c Config) *Client {
	return &Client{config: c, pendingFrees: map[string][]message.ResultHandle{}}
}

// StartCall starts a call to a stage endpoint. It does not block.
func (c *Client) StartCall(call batching.Call) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		defer cancel()
		c.runCall(ctx, call)
	}()
}

func (c *Client) runCall(ctx context.Context, call batching.Call) {
	response, err := c.send(ctx, call.Address, platform.EncodeStageCall(call), true)
	if err != nil {
		failure := batching.Broken
		if h1.NotSent(err) {
			failure = batching.NotSent
		}
		c.config.OnFailed(call.ID, failure, err.Error())
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.config.Memory.ReadAll(response.Body, maxReplyBytes)
	defer body.Release()
	accepted, failure := platform.ReadStageResponseHead(response.Response)
	if !accepted {
		c.config.OnFailed(call.ID, failure, response.Status)
		return
	}
	if err != nil {
		c.config.OnFailed(call.ID, batching.Broken, err.Error())
		return
	}
	reply, err := platform.DecodeStageReply(body.Data)
	if err != nil {
		c.config.OnFailed(call.ID, batching.Broken, err.Error())
		return
	}
	c.config.OnReply(call.ID, reply)
}

// send sends a call. The reply to one with singleUse has a connection of its own,
// so that it cannot be the late copy of another one.
func (c *Client) send(ctx context.Context, address string, call platform.HTTPCall, singleUse bool) (*h1.Response, error) {
	started := time.Now()
	response, err := c.config.HTTPClient.Do(ctx, h1.Request{
		Address:   address,
		Method:    call.Method,
		Target:    call.Path,
		Host:      address,
		Header:    call.Header,
		Body:      call.Body,
		SingleUse: singleUse,
	})
	if err == nil {
		c.reportNotice(address, response.Response, time.Since(started))
	}
	return response, errors.Trace(err)
}

// reportNotice reports what an endpoint says of itself in a response.
func (c *Client) reportNotice(address string, response *http.Response, sentAgo time.Duration) {
	notice, err := platform.ReadNotice(response)
	if err != nil {
		c.config.LogEvent("noticeRejected", "address", address, "reason", err)
	}
	c.config.OnNotice(address, notice, sentAgo)
}

// FreeResults frees results at the endpoint with the address. It does not
// block; the results for one endpoint within freeDelay share one call.
func (c *Client) FreeResults(address string, handles []message.ResultHandle) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pendingFrees[address]
	c.pendingFrees[address] = append(pending, handles...)
	if len(pending) == 0 {
		time.AfterFunc(freeDelay, func() { c.sendFree(address) })
	}
}

// sendFree sends the call that frees an endpoint's pending results. A failed
// call is not repeated.
func (c *Client) sendFree(address string) {
	c.mutex.Lock()
	handles := c.pendingFrees[address]
	delete(c.pendingFrees, address)
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
	defer cancel()
	response, err := c.send(ctx, address, platform.EncodeFreeCall(handles), false)
	if err != nil {
		// The endpoint frees the results by itself when their retention ends.
		c.config.LogEvent("freeFailed", "address", address, "results", len(handles), "reason", err)
		return
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	_ = response.Body.Close()
	if err != nil {
		c.config.LogEvent("freeFailed", "address", address, "results", len(handles), "reason", err)
		return
	}
	if response.StatusCode != http.StatusOK {
		c.config.LogEvent("freeFailed", "address", address, "results", len(handles), "reason", response.Status)
		return
	}
	c.config.OnFreed(handles)
}

// InspectEndpoint asks an endpoint for its free result capacity. It does not
// block.
func (c *Client) InspectEndpoint(name ident.Endpoint, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shortCallTimeout)
		defer cancel()
		freeBytes, err := c.readFreeCapacityBytes(ctx, address)
		if err != nil {
			c.config.LogEvent("inspectionFailed", "endpoint", name, "reason", err)
			return
		}
		c.config.OnInspected(name, freeBytes)
	}()
}

func (c *Client) readFreeCapacityBytes(ctx context.Context, address string) (int, error) {
	response, err := c.send(ctx, address, platform.EncodeReportCall(), false)
	if err != nil {
		return 0, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := c.config.Memory.ReadAll(response.Body, maxReplyBytes)
	defer body.Release()
	if err != nil {
		return 0, errors.Trace(err)
	}
	return platform.DecodeFreeCapacityBytes(body.Data)
}
