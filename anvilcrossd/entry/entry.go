// Package entry serves the callers of an entry instance on a users' platform.
// It carries out what the gateway decides: it sends a request to an endpoint,
// passes the answer on, and reports what happened.
package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/platform"
)

const (
	// maxSteps bounds the steps that wait for a request's goroutine; the
	// gateway gives a further step only after a report or a time-out.
	maxSteps = 16
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// maxAnswer bounds an answer that is collected before it is passed on.
	maxAnswer = 16 << 20
)

// Config sets up a Server.
type Config struct {
	// WithGateway gives access to the gateway.
	WithGateway func(func(*gateway.Gateway))
	HTTPClient  *h1.Client
	// Limits returns what a caller may send.
	Limits func() published.Limits
	// ShuttingDown is true once the instance stops: connections are closed after
	// their answer.
	ShuttingDown func() bool
	// RecordRequest counts an ended request.
	RecordRequest func(outcome string, took time.Duration)
	LogEvent      func(name string, fields ...any)
}

// exchange is one caller's request as the edge sees it.
type exchange struct {
	handle gateway.RequestHandle
	steps  chan gateway.Step
	mutex  sync.Mutex
	cancel context.CancelFunc
}

// Server serves callers.
type Server struct {
	config Config
	next   atomic.Uint64
	mutex  sync.Mutex
	active map[gateway.RequestHandle]*exchange
}

// NewServer returns a server that does not listen yet.
func NewServer(c Config) *Server {
	return &Server{config: c, active: map[gateway.RequestHandle]*exchange{}}
}

// HandleStep passes the gateway's next step to a request's goroutine.
func (s *Server) HandleStep(h gateway.RequestHandle, step gateway.Step) {
	if x := s.lookup(h); x != nil {
		x.steps <- step
	}
}

// CancelAttempt ends the exchange that a request has with an endpoint.
func (s *Server) CancelAttempt(h gateway.RequestHandle) {
	x := s.lookup(h)
	if x == nil {
		return
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if x.cancel != nil {
		x.cancel()
	}
}

func (s *Server) lookup(h gateway.RequestHandle) *exchange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.active[h]
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	if s.config.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	if limit := s.config.Limits().MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		s.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		return
	}
	body, status := s.readBody(w, r)
	if status != 0 {
		s.reject(w, r, status, "the body is too large, too slow or cut off")
		return
	}
	arrival, err := platform.DecodeCallerRequest(r)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	arrival.Digest = ident.NewDigest(ident.Pipeline(arrival.Host+r.RequestURI+" "+arrival.Key), string(body))
	x := &exchange{handle: gateway.RequestHandle(s.next.Add(1)), steps: make(chan gateway.Step, maxSteps)}
	s.mutex.Lock()
	s.active[x.handle] = x
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		delete(s.active, x.handle)
		s.mutex.Unlock()
	}()
	s.config.WithGateway(func(g *gateway.Gateway) { g.HandleRequest(x.handle, arrival) })
	c := &conversation{server: s, exchange: x, writer: w, caller: r, body: body}
	outcome := c.run()
	s.config.RecordRequest(outcome, time.Since(started))
	if outcome == brokenOff {
		panic(http.ErrAbortHandler)
	}
}

// headerBytes returns the size of a request's header as it was sent, but for
// optional spaces.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.config.LogEvent("rejected", "status", status, "reason", reason, "method", r.Method)
	s.config.RecordRequest("rejected", 0)
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}

// readBody reads a request's body whole. The status is not zero if that
// failed.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, int) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	limit := int64(s.config.Limits().MaxBodyBytes)
	if limit > 0 && r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		var tooLarge *http.MaxBytesError
		var timeout net.Error
		switch {
		case errors.As(err, &tooLarge):
			return nil, http.StatusRequestEntityTooLarge
		case errors.As(err, &timeout) && timeout.Timeout():
			return nil, http.StatusRequestTimeout
		}
		return nil, http.StatusBadRequest
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, 0
}

// Outcomes of conversations for the metrics, beside the gateway's answers.
const (
	relayed    = "relayed"
	callerLeft = "callerLeft"
	brokenOff  = "brokenOff"
)

// conversation is the exchange with one caller.
type conversation struct {
	server   *Server
	exchange *exchange
	writer   http.ResponseWriter
	caller   *http.Request
	body     []byte
	// headSent is set once the answer's head went to the caller.
	headSent bool
}

func (c *conversation) do(f func(*gateway.Gateway)) { c.server.config.WithGateway(f) }

// run carries out steps until the request has its answer, and returns the
// outcome.
func (c *conversation) run() string {
	for {
		select {
		case <-c.caller.Context().Done():
			return c.left()
		case step := <-c.exchange.steps:
			if step.Send == nil {
				return c.answer(step)
			}
			if outcome := c.attempt(step.Send); outcome != "" {
				return outcome
			}
		}
	}
}

func (c *conversation) left() string {
	c.do(func(g *gateway.Gateway) { g.HandleCallerLeft(c.exchange.handle) })
	if c.headSent {
		return brokenOff
	}
	return callerLeft
}

func (c *conversation) answer(step gateway.Step) string {
	if c.headSent || step.Answer == gateway.BrokenOff {
		return brokenOff
	}
	platform.WriteAnswer(c.writer, c.caller, step)
	return step.Answer.String()
}

// attempt sends the request once. It returns an outcome when the request is
// over, and nothing when the gateway decides on.
func (c *conversation) attempt(send *gateway.Send) string {
	ctx, cancel := context.WithCancel(c.caller.Context())
	defer cancel()
	c.exchange.mutex.Lock()
	c.exchange.cancel = cancel
	c.exchange.mutex.Unlock()
	h := c.exchange.handle
	response, err := c.server.config.HTTPClient.Do(ctx, h1.Request{
		Address:         send.Address,
		Method:          c.caller.Method,
		Target:          c.caller.RequestURI,
		Host:            c.caller.Host,
		Header:          platform.EndpointHeader(c.caller.Header, *send),
		Body:            c.body,
		AvoidStale:      !send.Repeatable,
		MatchesResponse: func(r *http.Response) bool { return platform.ResponseMatchesRequest(c.caller, r) },
		MayWrite: func() (may bool) {
			c.do(func(g *gateway.Gateway) { may = g.BeginWrite(h, send.Attempt) })
			return may
		},
	})
	if c.caller.Context().Err() != nil {
		if err == nil {
			_ = response.Body.Close()
		}
		return c.left()
	}
	if err != nil {
		failure := gateway.Broken
		if h1.NothingWritten(err) {
			failure = gateway.Unreached
		}
		c.failed(send, failure, "", err.Error())
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	verdict := platform.ReadResponseHead(response.Response)
	if !verdict.Usable {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
		c.failed(send, verdict.Failure, "", response.Status)
		return ""
	}
	c.do(func(g *gateway.Gateway) { g.HandleResponseHead(h, send.Attempt, verdict.ErrorResponse, verdict.Load) })
	if send.Stream && response.StatusCode < http.StatusMultipleChoices {
		return c.relayStream(send, response)
	}
	return c.relayWhole(send, response, verdict.ErrorResponse)
}

func (c *conversation) failed(send *gateway.Send, f gateway.AttemptFailure, resume, detail string) {
	c.do(func(g *gateway.Gateway) { g.HandleFailure(c.exchange.handle, send.Attempt, f, resume, detail) })
}

// relayWhole passes an answer on once it is there to its end.
func (c *conversation) relayWhole(send *gateway.Send, response *h1.Response, failed bool) string {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if c.caller.Context().Err() != nil {
		return c.left()
	}
	if err != nil {
		c.failed(send, gateway.Broken, "", err.Error())
		return ""
	}
	if c.headSent {
		// A continued stream got a failure: it ends visibly incomplete.
		c.failed(send, gateway.InvalidResponse, "", response.Status)
		return ""
	}
	if failed {
		repeats := false
		c.do(func(g *gateway.Gateway) { repeats = g.RetryErrorResponse(c.exchange.handle, send.Attempt) })
		if repeats {
			return ""
		}
	}
	platform.CopyResponseHeader(c.writer, response.Response)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(response.StatusCode)
	_, err = c.writer.Write(body)
	if err != nil {
		return c.left()
	}
	c.do(func(g *gateway.Gateway) {
		g.HandleDelivery(c.exchange.handle, send.Attempt, gateway.Delivery{Status: response.StatusCode})
	})
	return relayed
}
