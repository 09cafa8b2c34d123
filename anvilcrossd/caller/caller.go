// Package caller serves anvilcross's own HTTP interface for callers: they submit
// a request, stream its answer, collect an answer by id and get tickets.
// docs/CALLERS.md describes the interface with examples. Package entry serves the
// callers on a users' platform.
package caller

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/node"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 256 << 10
	maxIDBytes   = 128
)

// defaultReadTimeout bounds the time to read a header, and the time to read a
// body.
const defaultReadTimeout = 5 * time.Second

// idPattern matches the request ids that a caller may choose.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Config sets up a Server.
type Config struct {
	// WithNode calls a function with the node under its lock. The function must
	// not block.
	WithNode func(func(*node.Node))
	// RecordRequest records a finished request in the metrics, with the time to
	// its answer and the time to its first token, which is zero if no token was
	// sent. p is empty for an answer that was collected by id.
	RecordRequest func(p ident.Pipeline, a *outcome.Answer, took, firstToken time.Duration)
	// ReadTimeout bounds the time to read a header, and the time to read a
	// body; zero means five seconds.
	ReadTimeout time.Duration
}

// Server handles the callers' HTTP requests.
type Server struct {
	config  Config
	waiters *waiters
}

// NewServer returns a server; HTTPServer makes it ready to listen.
func NewServer(c Config) *Server {
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	return &Server{config: c, waiters: newWaiters()}
}

// SendAnswer passes an answer from the kernel to the waiting connection. It
// does not block.
func (s *Server) SendAnswer(id ident.WaiterID, a outcome.Answer) { s.waiters.setAnswer(id, a) }

// SendToken passes a token from the kernel to the waiting connection. It does
// not block.
func (s *Server) SendToken(id ident.WaiterID, _ int, token string) { s.waiters.addToken(id, token) }

// HTTPServer returns an HTTP server with the routes of the interface.
func (s *Server) HTTPServer() (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/requests", s.submit)
	app.Get("/v1/requests/{id:string}", s.collect)
	app.Post("/v1/tickets", s.issueTickets)
	app.OnErrorCode(iris.StatusNotFound, func(c iris.Context) { writeRefusal(c, iris.StatusNotFound, outcome.BadRequest, "no such path") })
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("building the callers' interface: %w", err)
	}
	return &http.Server{Handler: app, ReadHeaderTimeout: s.config.ReadTimeout}, nil
}

// submission is the JSON body of a submitted request.
type submission struct {
	ID        ident.RequestID `json:"id"`
	Pipeline  ident.Pipeline  `json:"pipeline"`
	Body      string          `json:"body"`
	FirstSent time.Time       `json:"firstSent"`
	Resend    bool            `json:"resend"`
	Stream    bool            `json:"stream"`
}

func (s *Server) submit(c iris.Context) {
	workspace, ok := s.authenticate(c)
	if !ok {
		return
	}
	var in submission
	if problem := s.readJSONBody(c, &in); problem != "" {
		writeRefusal(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	if problem := checkID(in.ID); problem != "" {
		writeRefusal(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	m := message.Submission{
		Key:       ident.Key{Workspace: workspace, ID: in.ID},
		Pipeline:  in.Pipeline,
		Body:      in.Body,
		FirstSent: in.FirstSent,
		Resend:    in.Resend,
	}
	s.serveRequest(c, in.Pipeline, in.Stream, func(n *node.Node, w ident.WaiterID) { n.Submit(w, m, in.Stream) })
}

func (s *Server) collect(c iris.Context) {
	workspace, ok := s.authenticate(c)
	if !ok {
		return
	}
	id := ident.RequestID(c.Params().Get("id"))
	if problem := checkID(id); problem != "" {
		writeRefusal(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	stream := c.URLParamExists("stream")
	key := ident.Key{Workspace: workspace, ID: id}
	s.serveRequest(c, "", stream, func(n *node.Node, w ident.WaiterID) { n.Collect(w, key, stream) })
}

type ticketRequest struct {
	Count int `json:"count"`
}

type ticketResponse struct {
	Tickets []ident.RequestID `json:"tickets"`
}

func (s *Server) issueTickets(c iris.Context) {
	workspace, ok := s.authenticate(c)
	if !ok {
		return
	}
	var in ticketRequest
	if problem := s.readJSONBody(c, &in); problem != "" {
		writeRefusal(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	if in.Count < 1 || in.Count > node.MaxTicketsPerRequest {
		writeRefusal(c, iris.StatusBadRequest, outcome.BadRequest, fmt.Sprintf("count must be 1 to %d", node.MaxTicketsPerRequest))
		return
	}
	var response ticketResponse
	s.config.WithNode(func(n *node.Node) { response.Tickets = n.IssueTickets(workspace, in.Count) })
	writeJSON(c, iris.StatusOK, response)
}

// authenticate returns the workspace of the request's access key. If there is
// none, or the node has no configuration yet, it writes an answer that says so
// and returns false.
func (s *Server) authenticate(c iris.Context) (ident.Workspace, bool) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found || key == "" {
		writeRefusal(c, iris.StatusUnauthorized, outcome.WrongKey, "send the workspace's key as Authorization: Bearer KEY")
		return "", false
	}
	digest := []byte(configuration.KeyDigest(key))
	var workspace ident.Workspace
	ready := false
	s.config.WithNode(func(n *node.Node) {
		d := n.Document()
		if d == nil {
			return
		}
		ready = true
		for i := range d.Workspaces {
			if subtle.ConstantTimeCompare(digest, []byte(d.Workspaces[i].KeyDigest)) == 1 {
				workspace = d.Workspaces[i].Name
			}
		}
	})
	if !ready {
		a := outcome.Answer{Outcome: outcome.Lost, Reason: outcome.NotReady, Detail: "this instance has no configuration yet; send again"}
		writeJSON(c, iris.StatusServiceUnavailable, a)
		return "", false
	}
	if workspace == "" {
		writeRefusal(c, iris.StatusUnauthorized, outcome.WrongKey, "the key belongs to no workspace")
		return "", false
	}
	return workspace, true
}

// readJSONBody decodes the request's body. It returns a message for the caller
// if the body is not accepted, and an empty string otherwise.
func (s *Server) readJSONBody(c iris.Context, into any) string {
	// The deadline covers the body alone: the read timeout of http.Server would
	// also cut off the wait for a long answer.
	control := http.NewResponseController(c.ResponseWriter().Naive())
	if err := control.SetReadDeadline(time.Now().Add(s.config.ReadTimeout)); err != nil {
		panic("the connection has no read deadline: " + err.Error())
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)
	case err != nil:
		// The deadline is not reset: without it the server would wait for the
		// rest of the body.
		c.Header("Connection", "close")
		return "the body was cut off or came too slowly"
	}
	_ = control.SetReadDeadline(time.Time{})
	if err := Decode(body, into); err != nil {
		return err.Error()
	}
	return ""
}

// Decode parses the JSON of a caller's request. Unknown fields and data after
// the value are errors.
func Decode(body []byte, into any) error {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("the body is not the expected JSON: %w", err)
	}
	if d.More() {
		return errors.New("the body holds more than one JSON value")
	}
	return nil
}

// checkID returns a message for the caller if the id is not allowed, and an
// empty string otherwise.
func checkID(id ident.RequestID) string {
	switch {
	case id == "":
		return "id is required"
	case len(id) > maxIDBytes:
		return fmt.Sprintf("id is longer than %d bytes", maxIDBytes)
	case !idPattern.MatchString(string(id)):
		return "id may hold letters, digits and . _ : - only"
	case strings.HasPrefix(string(id), "same:"):
		return "id may not start with same:"
	case strings.HasPrefix(string(id), ticket.Prefix) && strings.Count(string(id), ".") < 5:
		return "ids that start with " + ticket.Prefix + " are tickets, and this is none"
	}
	return ""
}

// serveRequest passes a request to the node by submit, and writes the tokens
// and the answer to the caller.
func (s *Server) serveRequest(c iris.Context, p ident.Pipeline, stream bool, submit func(*node.Node, ident.WaiterID)) {
	start := time.Now()
	w := s.waiters.add()
	defer s.waiters.remove(w.id)
	s.config.WithNode(func(n *node.Node) { submit(n, w.id) })
	var firstToken time.Duration
	if stream {
		c.ContentType("text/event-stream")
	}
	for {
		tokens, answer := w.wait(c.Request().Context().Done())
		if len(tokens) > 0 && firstToken == 0 {
			firstToken = time.Since(start)
		}
		if stream {
			writeTokens(c, tokens)
		}
		if answer != nil {
			s.config.RecordRequest(p, answer, time.Since(start), firstToken)
			writeAnswer(c, stream, answer)
			return
		}
		if c.Request().Context().Err() != nil {
			// The caller disconnected. The request goes on and its answer can
			// be collected.
			return
		}
	}
}

type tokenEvent struct {
	Token string `json:"token"`
}

func writeTokens(c iris.Context, tokens []string) {
	if len(tokens) == 0 {
		return
	}
	for _, t := range tokens {
		writeEvent(c, "token", tokenEvent{Token: t})
	}
	c.ResponseWriter().Flush()
}

func writeAnswer(c iris.Context, stream bool, a *outcome.Answer) {
	if !stream {
		writeJSON(c, httpStatus(a), a)
		return
	}
	writeEvent(c, "answer", a)
	c.ResponseWriter().Flush()
}

func writeEvent(c iris.Context, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("event cannot be encoded: " + err.Error())
	}
	_, _ = fmt.Fprintf(c.ResponseWriter(), "event: %s\ndata: %s\n\n", name, data)
}

func writeJSON(c iris.Context, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("reply cannot be encoded: " + err.Error())
	}
	c.ContentType("application/json")
	c.StatusCode(code)
	_, _ = c.Write(append(data, '\n'))
}

func writeRefusal(c iris.Context, code int, reason outcome.Reason, detail string) {
	writeJSON(c, code, outcome.Answer{Outcome: outcome.Refused, Reason: reason, Detail: detail})
}

// httpStatus maps an answer to an HTTP status. The outcome and the reason in
// the body are more precise.
func httpStatus(a *outcome.Answer) int {
	switch a.Outcome {
	case outcome.Whole:
		return http.StatusOK
	case outcome.NotRun:
		return http.StatusServiceUnavailable
	case outcome.Lost:
		return http.StatusBadGateway
	}
	switch a.Reason {
	case outcome.OverLimit, outcome.CannotFinish:
		return http.StatusTooManyRequests
	case outcome.IDConflict:
		return http.StatusConflict
	case outcome.UnknownPipeline:
		return http.StatusNotFound
	case outcome.Quarantined:
		return http.StatusUnprocessableEntity
	}
	return http.StatusBadRequest
}
