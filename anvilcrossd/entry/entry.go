// Package entry serves the callers of an entry instance on a users' platform;
// package gateway of the kernel calls it the edge. It carries out the gateway's
// decisions: it sends a caller's request to an endpoint, relays the response, and
// reports the outcome to the gateway.
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

	"anvilcross/anvilcrossd/callermemory"
	"anvilcross/anvilcrossd/forward"
	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/platform"
)

const (
	// maxQueuedSteps is the capacity of a request's step queue. The gateway
	// issues a further step only after a report or a timeout.
	maxQueuedSteps = 16
	// bodyTimeout limits the time to read a request's body.
	bodyTimeout = 10 * time.Second
	// memoryRetryAfter is how long a caller waits that is refused for want of memory. A body
	// that makes no progress loses its memory to others in that time.
	memoryRetryAfter = time.Second
	// discardAfterAnswerTime and maxDiscardedAfterAnswer limit what is read of a body after its
	// request has been refused.
	discardAfterAnswerTime  = 500 * time.Millisecond
	maxDiscardedAfterAnswer = 1 << 20
)

// Config sets up a Server.
type Config struct {
	// WithGateway calls a function with the gateway under its lock. The
	// function must not block.
	WithGateway func(func(*gateway.Gateway))
	HTTPClient  *h1.Client
	// Memory is the memory for responses.
	Memory *replymemory.Pool
	// CallerMemory is the memory for the bodies of requests.
	CallerMemory *callermemory.Account
	// HandleWhole is called when the whole request on a connection has arrived.
	HandleWhole func(net.Conn)
	// OnRefused is called for each request that is refused because there is no memory for its
	// body.
	OnRefused func(*http.Request)
	// Limits returns what a caller may send.
	Limits func() published.Limits
	// ShuttingDown reports whether a graceful shutdown has begun. Each
	// connection is then closed after its current answer.
	ShuttingDown func() bool
	// RecordRequest records a finished request in the metrics.
	RecordRequest func(outcome string, took time.Duration)
	// LogEvent writes one log line; fields alternates keys and values.
	LogEvent func(name string, fields ...any)
}

// activeRequest is the part of a request that the gateway's calls reach.
type activeRequest struct {
	handle gateway.RequestHandle
	steps  chan gateway.Step
	// mutex guards cancelAttempt, which is nil before the first attempt.
	mutex         sync.Mutex
	cancelAttempt context.CancelFunc
}

// Server is the HTTP handler for the callers' requests.
type Server struct {
	config         Config
	lastHandle     atomic.Uint64
	mutex          sync.Mutex
	activeRequests map[gateway.RequestHandle]*activeRequest
	// activeForwarded counts the requests of other instances.
	activeForwarded atomic.Int64
}

// NewServer returns a server without active requests. It does not listen by
// itself.
func NewServer(c Config) *Server {
	return &Server{config: c, activeRequests: map[gateway.RequestHandle]*activeRequest{}}
}

// HandleStep passes the gateway's next step to the goroutine that serves the
// request. It does nothing if the request is finished.
func (s *Server) HandleStep(h gateway.RequestHandle, step gateway.Step) {
	if active := s.lookup(h); active != nil {
		active.steps <- step
	}
}

// CancelAttempt aborts the request's current exchange with an endpoint.
func (s *Server) CancelAttempt(h gateway.RequestHandle) {
	active := s.lookup(h)
	if active == nil {
		return
	}
	active.mutex.Lock()
	defer active.mutex.Unlock()
	if active.cancelAttempt != nil {
		active.cancelAttempt()
	}
}

func (s *Server) lookup(h gateway.RequestHandle) *activeRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.activeRequests[h]
}

// ServeHTTP serves one request. It panics with http.ErrAbortHandler, which
// aborts the connection, if the caller has received only part of a response or
// has closed its side of the connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if limit := s.config.Limits().MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		s.reject(w, r, http.StatusRequestHeaderFieldsTooLarge, "the header is too large")
		return
	}
	r.Header.Del(forward.HeaderRequest)
	s.serve(w, r, nil)
}

// serve serves a caller's request; forwarding is nil unless another instance has forwarded
// it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, forwarding *gateway.Forwarding) {
	started := time.Now()
	if s.config.ShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	body, status := s.readBody(w, r, forwarding != nil)
	defer body.Release()
	switch status {
	case 0:
	case http.StatusServiceUnavailable:
		body.Release()
		s.refuseForMemory(w, r, forwarding != nil)
		return
	default:
		body.Release()
		s.reject(w, r, status, "the body is too large, too slow or cut off")
		return
	}
	if n, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
		s.config.HandleWhole(n)
	}
	incoming, err := platform.DecodeCallerRequest(r)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, err.Error())
		return
	}
	incoming.Forwarded = forwarding
	incoming.Digest = ident.NewBytesDigest(ident.Pipeline(incoming.Host+r.RequestURI+" "+incoming.Key), body.Data())
	active := &activeRequest{handle: gateway.RequestHandle(s.lastHandle.Add(1)), steps: make(chan gateway.Step, maxQueuedSteps)}
	s.mutex.Lock()
	s.activeRequests[active.handle] = active
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		delete(s.activeRequests, active.handle)
		s.mutex.Unlock()
	}()
	s.config.WithGateway(func(g *gateway.Gateway) { g.HandleRequest(active.handle, incoming) })
	c := &callerExchange{server: s, active: active, writer: w, request: r, body: body.Data(), forwarded: forwarding != nil}
	outcome := c.run()
	s.config.RecordRequest(outcome, time.Since(started))
	if outcome == brokenOff || outcome == callerLeft {
		// net/http would send an empty 200 to a caller that reads on.
		panic(http.ErrAbortHandler)
	}
}

// headerBytes returns the size of a request's header as it was sent, without
// optional whitespace.
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

// reject answers a request that does not reach the gateway, and closes its
// connection.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string) {
	s.config.LogEvent("rejected", "status", status, "reason", reason, "method", r.Method)
	s.config.RecordRequest("rejected", 0)
	answerUnread(w, r, func() {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, reason+"\n")
	})
}

// refuseForMemory answers a request for whose body there is no memory: it has not run.
func (s *Server) refuseForMemory(w http.ResponseWriter, r *http.Request, forwarded bool) {
	s.config.OnRefused(r)
	s.config.RecordRequest("refusedForMemory", 0)
	step := gateway.Step{Answer: gateway.NotRun, RetryAfter: memoryRetryAfter, Reason: "no memory is left for the body of the request", Elsewhere: true}
	if forwarded {
		forward.SetAnswer(w.Header(), step.ForwardAnswer())
	}
	answerUnread(w, r, func() { platform.WriteAnswer(w, r, step) })
}

// answerUnread answers a request of which a part has not been read, and ends its connection. The
// answer goes out at once, where net/http would first wait for up to 256 KiB of the body. What the
// caller still sends is discarded for a while: a connection that is closed with unread input is reset,
// which can take the answer along.
func answerUnread(w http.ResponseWriter, r *http.Request, write func()) {
	controller := http.NewResponseController(w)
	w.Header().Set("Connection", "close")
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(time.Now().Add(discardAfterAnswerTime))
	write()
	_ = controller.Flush()
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedAfterAnswer))
	}
	_ = controller.SetReadDeadline(time.Unix(1, 0))
}

// readBody reads the complete body of a request. If that fails, it returns the HTTP status for the
// answer, else zero. The body must be released in any case.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, forwarded bool) (*callermemory.Holding, int) {
	controller := http.NewResponseController(w)
	kind := callermemory.Bodies
	if forwarded {
		kind = callermemory.ForwardedBodies
	}
	body := s.config.CallerMemory.NewHolding(kind, func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
	if r.Body == nil || r.Body == http.NoBody {
		return body, 0
	}
	limit := int64(s.config.Limits().MaxBodyBytes)
	if limit > 0 && r.ContentLength > limit {
		return body, http.StatusRequestEntityTooLarge
	}
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(w, r.Body, limit)
	}
	if err := body.Read(reader, r.ContentLength); err != nil {
		var tooLarge *http.MaxBytesError
		var timeout net.Error
		switch {
		case errors.Cause(err) == callermemory.ErrRefused:
			return body, http.StatusServiceUnavailable
		case errors.As(err, &tooLarge):
			return body, http.StatusRequestEntityTooLarge
		case errors.As(err, &timeout) && timeout.Timeout():
			return body, http.StatusRequestTimeout
		}
		return body, http.StatusBadRequest
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, 0
}

// Outcomes of requests in the metrics, in addition to the gateway's answers and
// to "rejected" for requests that do not reach the gateway. brokenOff means that
// the caller has received only part of a response.
const (
	relayed    = "relayed"
	callerLeft = "callerLeft"
	brokenOff  = "brokenOff"
)

// callerExchange is one caller's request and its answer.
type callerExchange struct {
	server  *Server
	active  *activeRequest
	writer  http.ResponseWriter
	request *http.Request
	body    []byte
	// forwarded is set if another instance has forwarded the request.
	forwarded bool
	// headSent is set once the head of a streamed response has been sent to the
	// caller.
	headSent bool
	// endsWithConnection is set if nothing but the end of the caller's connection marks
	// the end of the answer.
	endsWithConnection bool
}

func (c *callerExchange) withGateway(f func(*gateway.Gateway)) { c.server.config.WithGateway(f) }

// run carries out the gateway's steps until the request is finished, and
// returns the outcome.
func (c *callerExchange) run() string {
	for {
		select {
		case <-c.request.Context().Done():
			return c.handleCallerLeft()
		case step := <-c.active.steps:
			if step.Send == nil {
				return c.writeAnswer(step)
			}
			if outcome := c.attempt(step.Send); outcome != "" {
				return outcome
			}
		}
	}
}

// handleCallerLeft tells the gateway that the caller closed its connection, and
// returns the outcome.
func (c *callerExchange) handleCallerLeft() string {
	c.withGateway(func(g *gateway.Gateway) { g.HandleCallerLeft(c.active.handle) })
	if c.headSent {
		return brokenOff
	}
	return callerLeft
}

// writeAnswer sends the gateway's own answer to the caller, unless part of a
// response was sent before, and returns the outcome.
func (c *callerExchange) writeAnswer(step gateway.Step) string {
	if c.headSent || step.Answer == gateway.BrokenOff {
		return brokenOff
	}
	if c.forwarded {
		forward.SetAnswer(c.writer.Header(), step.ForwardAnswer())
	}
	platform.WriteAnswer(c.writer, c.request, step)
	return step.Answer.String()
}

// attempt sends the request to an endpoint once and relays the response. It
// returns the outcome if the request is finished, or an empty string if the
// gateway decides on the next step.
func (c *callerExchange) attempt(send *gateway.Send) string {
	ctx, cancel := context.WithCancel(c.request.Context())
	defer cancel()
	c.active.mutex.Lock()
	c.active.cancelAttempt = cancel
	c.active.mutex.Unlock()
	h := c.active.handle
	started := time.Now()
	response, err := c.server.config.HTTPClient.Do(ctx, h1.Request{
		Address:         send.Address,
		Method:          c.request.Method,
		Target:          c.request.RequestURI,
		Host:            c.request.Host,
		Header:          c.header(send),
		Body:            c.body,
		AvoidStale:      !send.Repeatable,
		MatchesResponse: func(r *http.Response) bool { return platform.ResponseMatchesRequest(c.request, r) },
		MayWrite: func() (allowed bool) {
			c.withGateway(func(g *gateway.Gateway) { allowed = g.BeginWrite(h, send.Attempt) })
			return allowed
		},
	})
	if err == nil && send.Member == "" {
		c.reportNotice(send, response.Response, time.Since(started))
	}
	if c.request.Context().Err() != nil {
		if err == nil {
			_ = response.Body.Close()
		}
		return c.handleCallerLeft()
	}
	if err != nil {
		failure := gateway.Broken
		switch {
		case h1.NotSent(err):
			failure = gateway.NotSent
		case h1.InvalidHead(err):
			failure = gateway.InvalidResponse
		}
		c.reportFailure(send, failure, "", err.Error())
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	if send.Member != "" && c.handleForwardAnswer(send, response) {
		return ""
	}
	head := platform.ReadResponseHead(c.request, response.Response)
	if !head.Usable {
		// A faulty endpoint may write a refusal once more: the same request may come to it
		// again, and nothing would tell the copy from its response.
		response.Abort()
		c.reportFailure(send, head.Failure, "", response.Status)
		return ""
	}
	c.withGateway(func(g *gateway.Gateway) { g.HandleResponseHead(h, send.Attempt, head.ErrorResponse, head.Load) })
	if send.Stream && response.StatusCode < http.StatusMultipleChoices && isEventStream(response) {
		return c.relayStream(send, response)
	}
	return c.relayBuffered(send, response, head.ErrorResponse)
}

// reportNotice tells the gateway what an endpoint says of itself in a response.
func (c *callerExchange) reportNotice(send *gateway.Send, response *http.Response, sentAgo time.Duration) {
	notice, err := platform.ReadNotice(response)
	if err != nil {
		c.server.config.LogEvent("noticeRejected", "endpoint", send.Endpoint, "reason", err)
	}
	c.withGateway(func(g *gateway.Gateway) { g.HandleNotice(send.Process(), notice, sentAgo) })
}

// beginRelay asks the gateway whether the response of an attempt may be written to the caller.
func (c *callerExchange) beginRelay(send *gateway.Send, response gateway.Response) (allowed bool) {
	c.withGateway(func(g *gateway.Gateway) { allowed = g.BeginRelay(c.active.handle, send.Attempt, response) })
	return allowed
}

// reportFailure tells the gateway that an attempt failed. lastEventID is the id
// of the last event that was relayed, if any.
func (c *callerExchange) reportFailure(send *gateway.Send, f gateway.AttemptFailure, lastEventID, detail string) {
	c.withGateway(func(g *gateway.Gateway) { g.HandleFailure(c.active.handle, send.Attempt, f, lastEventID, detail) })
}
