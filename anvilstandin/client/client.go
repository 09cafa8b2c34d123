// Package client simulates callers of the users' platform: it sends requests as
// they do and checks the replies against what the simulated workers return.
package client

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilcross/anvilstandin/site"
	"anvilcross/anvilstandin/worker"
)

// Request is a caller's request to a route of a site.
type Request struct {
	ID     string
	Method string
	// Route is the name of the route, which is also the first segment of its
	// path; package site configures order, lookup, draft and verse.
	Route string
	Body  string
	// APIKey is sent as a bearer token, unless it is empty.
	APIKey string
	// PieceCounts holds the number of pieces of each stage, separated by commas.
	PieceCounts string
	// ExtraPart is a shared part of the prompt beside that of all requests; empty for
	// none.
	ExtraPart string
	// EventCount is the number of events of a stream; 0 for a plain request.
	EventCount int
	// Timeout is sent as the Deadline-Ms header; Send does not enforce it.
	Timeout time.Duration
	// Header holds additional headers; they replace those of the same name.
	Header http.Header
}

// NewRequest returns a request to a route as the site's callers send it, with a
// random id.
func NewRequest(route string) Request {
	var b [8]byte
	// crypto/rand.Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b[:])
	r := Request{ID: hex.EncodeToString(b[:]), Method: http.MethodPost, Route: route, APIKey: site.APIKey, Timeout: 8 * time.Second, Body: "body of " + route}
	switch route {
	case "lookup":
		r.Method, r.Body = http.MethodGet, ""
	case "draft":
		r.PieceCounts, r.EventCount = "3", 12
	case "verse":
		r.PieceCounts, r.EventCount = "1,4", 12
	}
	return r
}

// TakeUp returns a request that takes up the stream of another one after an event.
func (r Request) TakeUp(lastEvent int) Request {
	again := NewRequest(r.Route)
	again.EventCount = r.EventCount
	again.Header = http.Header{
		"Last-Event-Id": {strconv.Itoa(lastEvent)},
		"Resumes":       {r.ID},
		"Prompt-Prefix": {"5c1e07a2:500," + r.ID + ":200"},
	}
	return again
}

// Reply is what the caller received.
type Reply struct {
	Status int
	Body   string
	Header http.Header
	// Framed is set if the end of the answer was marked by a length or chunks.
	Framed bool
	// Err is the error of sending the request or of reading the response.
	Err error
	// Elapsed is the time from sending the request to the end of the response.
	Elapsed time.Duration
}

// Send sends a request to an address and reads the response to its end. It
// closes the connection when the context ends, as a caller that leaves does.
func Send(ctx context.Context, h *http.Client, address string, r Request) Reply {
	start := time.Now()
	reply := send(ctx, h, address, r)
	reply.Elapsed = time.Since(start)
	return reply
}

func send(ctx context.Context, h *http.Client, address string, r Request) Reply {
	request, err := http.NewRequestWithContext(ctx, r.Method, fmt.Sprintf("http://%s/%s/item", address, r.Route), strings.NewReader(r.Body))
	if err != nil {
		return Reply{Err: err}
	}
	request.Host = site.Host
	request.Header.Set("Request-Id", r.ID)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	if r.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+r.APIKey)
	}
	if r.EventCount > 0 {
		request.Header.Set("Model", "m")
		request.Header.Set("Token-Count", fmt.Sprintf("700,%d", r.EventCount))
		prompt := "5c1e07a2:500,"
		if r.ExtraPart != "" {
			prompt += r.ExtraPart + ":50,"
		}
		request.Header.Set("Prompt-Prefix", prompt+r.ID+":200")
		request.Header.Set("Pieces", r.PieceCounts)
		request.Header.Set("Piece-Key", worker.PieceKey(r.ID))
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	response, err := h.Do(request)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return Reply{Status: response.StatusCode, Body: string(body), Header: response.Header, Framed: framed, Err: err}
}

// expectedBody returns the body of the whole answer to a request.
func expectedBody(r Request) string {
	if r.EventCount == 0 {
		return worker.ResponseBody(r.ID, []byte(r.Body))
	}
	text := ""
	for n := range r.EventCount {
		text += worker.StreamEvent(r.ID, n+1)
	}
	return text
}

// ExpectedReply returns the whole answer to a request, as a caller receives it.
func ExpectedReply(r Request) Reply {
	header := http.Header{"Response-Seal": {worker.Signature("worker", r.ID)}, "Request-Id": {r.ID}}
	return Reply{Status: http.StatusOK, Body: expectedBody(r), Header: header}
}

// FindProblem returns why a reply is not the whole answer to the request, or "".
func FindProblem(r Request, reply Reply) string {
	if reply.Err != nil {
		return reply.Err.Error()
	}
	if reply.Status != http.StatusOK {
		return fmt.Sprintf("status %d: %s", reply.Status, strings.TrimSpace(reply.Body))
	}
	want := expectedBody(r)
	switch {
	case reply.Body != want:
		return fmt.Sprintf("body of %d bytes, want %d", len(reply.Body), len(want))
	case reply.Header.Get("Response-Seal") == "":
		return "no Response-Seal header"
	case reply.Header.Get("Request-Id") != r.ID:
		return "answer has request id " + reply.Header.Get("Request-Id")
	}
	return ""
}

// IsReady asks a daemon, as the platform's load balancer does, whether it accepts
// new connections.
func IsReady(address string) bool {
	response, err := http.Get("http://" + address + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// SmugglingPayloads returns raw requests for tests of request smuggling, by case.
// Their framing is invalid: a lenient parser takes the end of the payload for a
// second request, with the id "inner".
func SmugglingPayloads() map[string]string {
	inner := "POST /order/inner HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: inner\r\nAuthorization: Bearer " + site.APIKey + "\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
	head := "POST /order/item HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: outer\r\nAuthorization: Bearer " + site.APIKey + "\r\nDeadline-Ms: 1000\r\n"
	return map[string]string{
		"two lengths":                head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"a length that is no number": head + "Content-Length: +0\r\n\r\n" + inner,
		"an unknown coding":          head + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + inner,
	}
}
