// Package endpoint carries out the node's calls to endpoints: model engines,
// members of stage pools and plain services. Each protocol has its own file,
// which registers its function in exchangeFuncs.
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

// Headers of the endpoints' protocol. The request key is not sent as
// Idempotency-Key, because net/http takes that header as permission to resend a
// request on its own.
const (
	headerRequestKey = "X-Request-Key"
	headerNotRun     = "X-Not-Run"
	headerLeaving    = "X-Leaving"
)

const maxResponseBytes = 1 << 20

// Callbacks report the tokens and the end of a call. A call ends with OnDone or
// OnFailed, or with neither if it was cancelled.
type Callbacks struct {
	OnToken  func(id ident.CallID, token string)
	OnDone   func(id ident.CallID, r node.CallResult)
	OnFailed func(id ident.CallID, f node.CallFailure, detail string)
}

// Config sets up a Client.
type Config struct {
	// DataCentre is the instance's own.
	DataCentre ident.DataCentre
	// LocalTransport reaches the endpoints of the same data centre, and
	// RemoteTransport those of the others.
	LocalTransport  *link.Transport
	RemoteTransport *link.Transport
	Callbacks       Callbacks
}

// Client runs calls, each in its own goroutine.
type Client struct {
	config  Config
	mutex   sync.Mutex
	cancels map[ident.CallID]context.CancelFunc
}

// exchangeFunc sends a call and reads its response.
type exchangeFunc func(ctx context.Context, c *Client, call node.Call) (node.CallResult, *failure)

// exchangeFuncs holds the function for each kind of endpoint.
var exchangeFuncs = map[string]exchangeFunc{}

// failure says why a call brought no result.
type failure struct {
	kind   node.CallFailure
	detail string
}

// NewClient returns a client without calls.
func NewClient(c Config) *Client {
	return &Client{config: c, cancels: map[ident.CallID]context.CancelFunc{}}
}

// StartCall begins a call in the background. Its end is reported through the
// callbacks.
func (c *Client) StartCall(call node.Call) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mutex.Lock()
	c.cancels[call.ID] = cancel
	c.mutex.Unlock()
	go c.run(ctx, call)
}

// CancelCall aborts a call. Its end is not reported.
func (c *Client) CancelCall(id ident.CallID) {
	if cancel := c.takeCancel(id); cancel != nil {
		cancel()
	}
}

// takeCancel removes a call and returns its cancel function, or nil if the call
// has ended or was cancelled.
func (c *Client) takeCancel(id ident.CallID) context.CancelFunc {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cancel := c.cancels[id]
	delete(c.cancels, id)
	return cancel
}

func (c *Client) run(ctx context.Context, call node.Call) {
	exchange := exchangeFuncs[call.Kind]
	if exchange == nil {
		c.takeCancel(call.ID)
		c.config.Callbacks.OnFailed(call.ID, node.NotSent, fmt.Sprintf("unknown kind of endpoint %q", call.Kind))
		return
	}
	result, fail := exchange(ctx, c, call)
	cancel := c.takeCancel(call.ID)
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

// post sends a JSON body and returns the response if its status is 200. The
// caller must close the response's body.
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
	request.Header.Set(headerRequestKey, call.Key.String()+"/"+string(call.Stage))
	transport := c.config.LocalTransport
	if call.DataCentre != c.config.DataCentre {
		transport = c.config.RemoteTransport
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, failureFromError(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	return nil, failureFromResponse(response)
}

// failureFromError distinguishes a call that was never sent (NotSent) from one
// that may have arrived (ConnectionBroken).
func failureFromError(err error) *failure {
	var opError *net.OpError
	if errors.Is(err, link.ErrLost) || errors.As(err, &opError) && opError.Op == "dial" {
		return &failure{node.NotSent, err.Error()}
	}
	return &failure{node.ConnectionBroken, err.Error()}
}

// failureFromResponse classifies a response with a status other than 200. Only
// the endpoint's own header proves that the call did not run.
func failureFromResponse(r *http.Response) *failure {
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

// closeBody reads the rest of the body, so that the connection can be reused,
// and closes it.
func closeBody(r *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxResponseBytes))
	_ = r.Body.Close()
}

// loadReport is the number of running and waiting calls that an endpoint
// reports in a response.
type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (l *loadReport) toLoad() *route.Load {
	if l == nil {
		return nil
	}
	return &route.Load{Running: l.Running, Waiting: l.Waiting}
}
