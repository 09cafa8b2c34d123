package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// host is the Host header of all routes, key the key of the only tenant.
const (
	host   = "site.example"
	key    = "key-parafia"
	tenant = "parafia"
)

// request is one client attempt.
type request struct {
	method, path string
	body         []byte
	header       map[string]string
	deadline     time.Duration
}

// answer is what a client got.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	complete bool
	err      error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("%d, seal %q, retry-after %q, %d bytes, complete %v", a.status, a.header.Get("Response-Seal"), a.header.Get("Retry-After"), len(a.body), a.complete)
}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt on a new connection and reads the answer.
func send(d *daemon, id string, q request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+d.front()+q.path, bytes.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	a.complete = a.err == nil
	return a
}
