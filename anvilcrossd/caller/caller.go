// Package caller serves the callers' interface: submit a request, stream its
// answer, collect an answer by id, and get tickets. docs/CALLERS.md describes
// it with examples.
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
	// MaxBodyBytes bounds a submission.
	MaxBodyBytes = 256 << 10
	maxIDBytes   = 128
)

// defaultReadTimeout bounds how slowly a caller may send its request.
const defaultReadTimeout = 5 * time.Second

// idPattern is what a caller's own request id may look like.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]+$`)

// Config sets up a Server.
type Config struct {
	// WithNode gives access to the node.
	WithNode func(func(*node.Node))
	// RecordRequest is told of each finished request, for metrics.
	RecordRequest func(p ident.Pipeline, a *outcome.Answer, took, firstToken time.Duration)
	// ReadTimeout bounds how slowly a caller may send; five seconds if zero.
	ReadTimeout time.Duration
}

// Server is the callers' HTTP interface.
type Server struct {
	config  Config
	waiters *waiters
}

// NewServer returns a server without connections.
func NewServer(c Config) *Server {
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	return &Server{config: c, waiters: newWaiters()}
}

// SendAnswer takes an answer from the kernel.
func (s *Server) SendAnswer(id ident.WaiterID, a outcome.Answer) { s.waiters.reply(id, a) }

// SendToken takes a token from the kernel.
func (s *Server) SendToken(id ident.WaiterID, _ int, token string) { s.waiters.token(id, token) }

// HTTPServer returns the server to listen with.
func (s *Server) HTTPServer() (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/requests", s.submit)
	app.Get("/v1/requests/{id:string}", s.collect)
	app.Post("/v1/tickets", s.tickets)
	app.OnErrorCode(iris.StatusNotFound, func(c iris.Context) { refuse(c, iris.StatusNotFound, outcome.BadRequest, "no such path") })
	if err := app.Build(); err != nil {
		return nil, fmt.Errorf("building the callers' interface: %w", err)
	}
	return &http.Server{Handler: app, ReadHeaderTimeout: s.config.ReadTimeout}, nil
}

// submission is the wire form of a request.
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
	if problem := s.decode(c, &in); problem != "" {
		refuse(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	if problem := checkID(in.ID); problem != "" {
		refuse(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	m := message.Submission{
		Key:       ident.Key{Workspace: workspace, ID: in.ID},
		Pipeline:  in.Pipeline,
		Body:      in.Body,
		FirstSent: in.FirstSent,
		Resend:    in.Resend,
	}
	s.serve(c, in.Pipeline, in.Stream, func(n *node.Node, w ident.WaiterID) { n.Submit(w, m, in.Stream) })
}

func (s *Server) collect(c iris.Context) {
	workspace, ok := s.authenticate(c)
	if !ok {
		return
	}
	id := ident.RequestID(c.Params().Get("id"))
	if problem := checkID(id); problem != "" {
		refuse(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	stream := c.URLParamExists("stream")
	key := ident.Key{Workspace: workspace, ID: id}
	s.serve(c, "", stream, func(n *node.Node, w ident.WaiterID) { n.Collect(w, key, stream) })
}

type ticketRequest struct {
	Count int `json:"count"`
}

type ticketReply struct {
	Tickets []ident.RequestID `json:"tickets"`
}

func (s *Server) tickets(c iris.Context) {
	workspace, ok := s.authenticate(c)
	if !ok {
		return
	}
	var in ticketRequest
	if problem := s.decode(c, &in); problem != "" {
		refuse(c, iris.StatusBadRequest, outcome.BadRequest, problem)
		return
	}
	if in.Count < 1 || in.Count > node.MaxTicketsPerRequest {
		refuse(c, iris.StatusBadRequest, outcome.BadRequest, fmt.Sprintf("count must be 1 to %d", node.MaxTicketsPerRequest))
		return
	}
	var reply ticketReply
	s.config.WithNode(func(n *node.Node) { reply.Tickets = n.IssueTickets(workspace, in.Count) })
	writeJSON(c, iris.StatusOK, reply)
}

// authenticate finds the workspace that the access key belongs to.
func (s *Server) authenticate(c iris.Context) (ident.Workspace, bool) {
	key, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found || key == "" {
		refuse(c, iris.StatusUnauthorized, outcome.WrongKey, "send the workspace's key as Authorization: Bearer KEY")
		return "", false
	}
	digest := []byte(configuration.KeyDigest(key))
	var name ident.Workspace
	ready := false
	s.config.WithNode(func(n *node.Node) {
		d := n.Document()
		if d == nil {
			return
		}
		ready = true
		for i := range d.Workspaces {
			if subtle.ConstantTimeCompare(digest, []byte(d.Workspaces[i].KeyDigest)) == 1 {
				name = d.Workspaces[i].Name
			}
		}
	})
	if !ready {
		a := outcome.Answer{Outcome: outcome.Lost, Reason: outcome.NotReady, Detail: "this instance has no configuration yet; send again"}
		writeJSON(c, iris.StatusServiceUnavailable, a)
		return "", false
	}
	if name == "" {
		refuse(c, iris.StatusUnauthorized, outcome.WrongKey, "the key belongs to no workspace")
		return "", false
	}
	return name, true
}

// decode reads a JSON body and returns what is wrong with it.
func (s *Server) decode(c iris.Context, into any) string {
	// The deadline holds for the body alone: the server's own read time-out
	// would also end the wait for a long answer.
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
		// The deadline stays: the server would wait for the rest otherwise.
		c.Header("Connection", "close")
		return "the body was cut off or came too slowly"
	}
	_ = control.SetReadDeadline(time.Time{})
	if err := Decode(body, into); err != nil {
		return err.Error()
	}
	return ""
}

// Decode parses the JSON of a caller's request strictly.
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

// serve submits to the node and passes tokens and the answer to the caller.
func (s *Server) serve(c iris.Context, p ident.Pipeline, stream bool, submit func(*node.Node, ident.WaiterID)) {
	start := time.Now()
	w := s.waiters.add()
	defer s.waiters.remove(w.id)
	s.config.WithNode(func(n *node.Node) { submit(n, w.id) })
	var first time.Duration
	if stream {
		c.ContentType("text/event-stream")
	}
	for {
		tokens, answer := w.next(c.Request().Context().Done())
		if len(tokens) > 0 && first == 0 {
			first = time.Since(start)
		}
		if stream {
			writeTokens(c, tokens)
		}
		if answer != nil {
			s.config.RecordRequest(p, answer, time.Since(start), first)
			writeAnswer(c, stream, answer)
			return
		}
		if c.Request().Context().Err() != nil {
			// The caller is gone; the request goes on and its answer can be
			// collected.
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
		writeJSON(c, status(a), a)
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

func refuse(c iris.Context, code int, reason outcome.Reason, detail string) {
	writeJSON(c, code, outcome.Answer{Outcome: outcome.Refused, Reason: reason, Detail: detail})
}

// status maps an answer to an HTTP status. The body says the same precisely.
func status(a *outcome.Answer) int {
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
