// Package client plays the users' callers: it sends requests as they do and
// checks the answers against what the stand-ins' workers send.
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

// Request is what a caller asks for.
type Request struct {
	ID     string
	Method string
	// Route is order, lookup, draft or verse.
	Route  string
	Body   string
	APIKey string
	// PieceCounts is the number of pieces of each stage.
	PieceCounts string
	// EventCount is the number of events of a stream.
	EventCount int
	Timeout    time.Duration
	// Header holds further headers.
	Header http.Header
}

// NewRequest returns a request of a route as the site's callers send it.
func NewRequest(route string) Request {
	var b [8]byte
	// A failure of the random source stops the process.
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

// Reply is what the caller got.
type Reply struct {
	Status int
	Body   string
	Header http.Header
	// Err is why the answer is not whole.
	Err     error
	Elapsed time.Duration
}

// Send sends a request to an address and reads the whole answer. The caller
// leaves when the context ends.
func Send(ctx context.Context, h *http.Client, address string, r Request) Reply {
	begun := time.Now()
	reply := send(ctx, h, address, r)
	reply.Elapsed = time.Since(begun)
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
		request.Header.Set("Prompt-Prefix", "5c1e07a2:500,"+r.ID+":200")
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
	return Reply{Status: response.StatusCode, Body: string(body), Header: response.Header, Err: err}
}

// body is the body of the whole answer to a request.
func body(r Request) string {
	if r.EventCount == 0 {
		return worker.ResponseBody(r.ID, []byte(r.Body))
	}
	text := ""
	for n := range r.EventCount {
		text += worker.StreamEvent(r.ID, n+1)
	}
	return text
}

// ExpectedReply returns the whole answer to a request, as a caller gets it.
func ExpectedReply(r Request) Reply {
	header := http.Header{"Response-Seal": {worker.Signature("worker", r.ID)}, "Request-Id": {r.ID}}
	return Reply{Status: http.StatusOK, Body: body(r), Header: header}
}

// FindProblem returns what is wrong with a whole answer to a request, or nothing.
func FindProblem(r Request, reply Reply) string {
	if reply.Err != nil {
		return reply.Err.Error()
	}
	if reply.Status != http.StatusOK {
		return fmt.Sprintf("status %d: %s", reply.Status, strings.TrimSpace(reply.Body))
	}
	want := body(r)
	switch {
	case reply.Body != want:
		return fmt.Sprintf("body of %d bytes, want %d", len(reply.Body), len(want))
	case reply.Header.Get("Response-Seal") == "":
		return "no signature"
	case reply.Header.Get("Request-Id") != r.ID:
		return "answer to request " + reply.Header.Get("Request-Id")
	}
	return ""
}

// IsReady asks a daemon, as the platform's balancer does, whether it takes new
// connections.
func IsReady(address string) bool {
	response, err := http.Get("http://" + address + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// SmugglingPayloads returns the bytes of requests that hide another one, with the id
// "inner", from a careless reader.
func SmugglingPayloads() map[string]string {
	inner := "POST /order/inner HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: inner\r\nAuthorization: Bearer " + site.APIKey + "\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n"
	head := "POST /order/item HTTP/1.1\r\nHost: " + site.Host + "\r\nRequest-Id: outer\r\nAuthorization: Bearer " + site.APIKey + "\r\nDeadline-Ms: 1000\r\n"
	return map[string]string{
		"two lengths":                head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner),
		"a length that is no number": head + "Content-Length: +0\r\n\r\n" + inner,
		"an unknown coding":          head + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + inner,
	}
}
