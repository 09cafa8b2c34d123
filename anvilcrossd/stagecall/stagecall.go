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
	Client *h1.Client
	// Replied and Failed report the end of a call.
	Replied func(batching.CallID, batching.Reply)
	Failed  func(batching.CallID, batching.CallFailure, string)
	// Freed reports results that their endpoint has given up.
	Freed func([]message.ResultHandle)
	// Inspected reports the room for results at an endpoint.
	Inspected func(ident.Endpoint, int)
	Event     func(name string, fields ...any)
}

// Caller calls stage endpoints.
type Caller struct {
	config  Config
	mutex   sync.Mutex
	freeing map[string][]message.ResultHandle
}

// NewCaller returns a caller without calls.
func NewCaller(c Config) *Caller {
	return &Caller{config: c, freeing: map[string][]message.ResultHandle{}}
}

// Run starts a call. It does not block.
func (c *Caller) Run(call batching.Call) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), call.Timeout)
		defer cancel()
		c.exchange(ctx, call)
	}()
}

func (c *Caller) exchange(ctx context.Context, call batching.Call) {
	response, err := c.send(ctx, call.Address, platform.EncodeStageCall(call))
	if err != nil {
		failure := batching.CallBroken
		if h1.Unreached(err) {
			failure = batching.EndpointUnreachable
		}
		c.config.Failed(call.ID, failure, err.Error())
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	taken, failure := platform.ReadStageResponseHead(response.Response)
	if !taken {
		c.config.Failed(call.ID, failure, response.Status)
		return
	}
	if err != nil {
		c.config.Failed(call.ID, batching.CallBroken, err.Error())
		return
	}
	reply, err := platform.DecodeStageReply(body)
	if err != nil {
		c.config.Failed(call.ID, batching.CallBroken, err.Error())
		return
	}
	c.config.Replied(call.ID, reply)
}

func (c *Caller) send(ctx context.Context, address string, call platform.HTTPCall) (*h1.Response, error) {
	response, err := c.config.Client.Do(ctx, h1.Request{
		Address: address,
		Method:  call.Method,
		Target:  call.Path,
		Host:    address,
		Header:  call.Header,
		Body:    call.Body,
	})
	return response, errors.Trace(err)
}

// Free gives results back. Those of one endpoint that come within a short
// while go in one call.
func (c *Caller) Free(address string, handles []message.ResultHandle) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waiting := c.freeing[address]
	c.freeing[address] = append(waiting, handles...)
	if len(waiting) == 0 {
		time.AfterFunc(freePause, func() { c.free(address) })
	}
}

func (c *Caller) free(address string) {
	c.mutex.Lock()
	handles := c.freeing[address]
	delete(c.freeing, address)
	c.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	response, err := c.send(ctx, address, platform.EncodeFreeCall(handles))
	if err != nil {
		// The endpoint drops the results by itself after its keep time.
		c.config.Event("freeFailed", "address", address, "results", len(handles), "reason", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.config.Event("freeFailed", "address", address, "results", len(handles), "reason", response.Status)
		return
	}
	c.config.Freed(handles)
}

// Inspect asks an endpoint how much room for results it has. It does not
// block.
func (c *Caller) Inspect(name ident.Endpoint, address string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		free, err := c.room(ctx, address)
		if err != nil {
			c.config.Event("inspectionFailed", "endpoint", name, "reason", err)
			return
		}
		c.config.Inspected(name, free)
	}()
}

func (c *Caller) room(ctx context.Context, address string) (int, error) {
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
