// Package endpoint calls the back ends: model engines, stage pools and plain
// services. Each kind has its own file and registers itself.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"anvilcross/anvilcrossd/link"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/node"
	"anvilcross/kernel/route"
)

// Headers of the endpoints' protocol. The request key deliberately does not
// use the Idempotency-Key header: the HTTP library takes that as permission
// to send a request again on its own.
const (
	headerKey     = "X-Request-Key"
	headerNotRun  = "X-Not-Run"
	headerLeaving = "X-Leaving"
)

const maxReplyBytes = 1 << 20

// Callbacks is where the ends of calls are reported.
type Callbacks struct {
	OnToken  func(id ident.CallID, token string)
	OnDone   func(id ident.CallID, r node.CallResult)
	OnFailed func(id ident.CallID, f node.CallFailure, detail string)
}

// Config sets up a Client.
type Config struct {
	DataCentre      ident.DataCentre
	LocalTransport  *link.Transport
	RemoteTransport *link.Transport
	Callbacks       Callbacks
}

// Client runs calls, each in a goroutine of its own.
type Client struct {
	config  Config
	mutex   sync.Mutex
	cancels map[ident.CallID]context.CancelFunc
}

// exchange sends one call and reads its reply.
type exchange func(ctx context.Context, c *Client, call node.Call) (node.CallResult, *failure)

var kinds = map[string]exchange{}

// failure is the typed end of a call that brought no result.
type failure struct {
	kind   node.CallFailure
	detail string
}

// NewClient returns a client without calls.
func NewClient(c Config) *Client {
	return &Client{config: c, cancels: map[ident.CallID]context.CancelFunc{}}
}

// Start begins a call. Its end is reported through the events.
func (c *Client) Start(call node.Call) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.cancels[call.ID] = cancel
	c.mutex.Unlock()
	go c.run(ctx, call)
}

// Cancel ends a call. Nothing more is reported for it.
func (c *Client) Cancel(id ident.CallID) {
	if cancel := c.take(id); cancel != nil {
		cancel()
	}
}

func (c *Client) take(id ident.CallID) context.CancelFunc {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	return cancel
}

func (c *Client) run(ctx context.Context, call node.Call) {
	start := kinds[call.Kind]
	if start == nil {
		c.take(call.ID)
		c.config.Callbacks.OnFailed(call.ID, node.NotSent, fmt.Sprintf("no adapter for kind %q", call.Kind))
		return
	}
	result, fail := start(ctx, c, call)
	cancel := c.take(call.ID)
	if cancel == nil {
		return
	}
	cancel()
	if fail != nil {
		c.config.Callbacks.OnFailed(call.ID, fail.kind, fail.detail)
		return
	}
	c.config.Callbacks.OnDone(call.ID, result)
}

// post sends a JSON body and returns the response if its status is 200.
func (c *Client) post(ctx context.Context, call node.Call, path string, body any) (*http.Response, *failure) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, &failure{node.NotSent, err.Error()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &failure{node.NotSent, err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerKey, call.Key.String()+"/"+string(call.Stage))
	transport := c.config.LocalTransport
	if call.DataCentre != c.config.DataCentre {
		transport = c.config.RemoteTransport
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, classify(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	return nil, declined(response)
}

// classify tells a call that was never sent from one that may have arrived.
func classify(err error) *failure {
	var op *net.OpError
	if errors.Is(err, link.ErrLost) || errors.As(err, &op) && op.Op == "dial" {
		return &failure{node.NotSent, err.Error()}
	}
	return &failure{node.ConnectionBroken, err.Error()}
}

// declined reads an endpoint's refusal. Only its own word proves that the
// call did not run.
func declined(r *http.Response) *failure {
	text, _ := io.ReadAll(io.LimitReader(r.Body, 256))
	detail := r.Status + " " + string(bytes.TrimSpace(text))
	switch {
	case r.Header.Get(headerLeaving) != "":
		return &failure{node.EndpointLeaving, detail}
	case r.Header.Get(headerNotRun) != "":
		return &failure{node.Declined, detail}
	}
	return &failure{node.EndpointFailed, detail}
}

func closeBody(r *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxReplyBytes))
	_ = r.Body.Close()
}

// loadReport is an endpoint's account of its work in a reply.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (l *loadReport) load() *route.Load {
	if l == nil {
		return nil
	}
	return &route.Load{Running: l.Running, Waiting: l.Waiting}
}
