package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"anvilcross/anvilcrossd/callermemory"
	"anvilcross/anvilcrossd/forward"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/published"
)

// startFullServer starts a server whose memory for callers is used up by whole bodies.
func startFullServer(t *testing.T) (address string, refused *atomic.Int64) {
	t.Helper()
	refused = &atomic.Int64{}
	memory := callermemory.NewAccount(callermemory.Config{})
	held := memory.NewHolding(callermemory.Bodies, func() { t.Error("the holding is ended") })
	if !held.Grow(callermemory.MinLimitBytes * 3 / 4) {
		t.Fatal("no memory for the first body")
	}
	s := NewServer(Config{
		WithGateway:   func(func(*gateway.Gateway)) { t.Error("a refused request reaches the gateway") },
		CallerMemory:  memory,
		HandleWhole:   func(net.Conn) { t.Error("a refused request counts as whole") },
		OnRefused:     func(*http.Request) { refused.Add(1) },
		Limits:        func() published.Limits { return published.Limits{MaxBodyBytes: 4 << 20} },
		ShuttingDown:  func() bool { return false },
		RecordRequest: func(string, time.Duration) {},
		LogEvent:      func(string, ...any) {},
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsForwarded(r.Header) {
			s.ServeForwarded(w, r)
			return
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), refused
}

// A request for whose body there is no memory is read, waits for the rest of its body, or gets an
// answer that does not say that it has not run.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	const length = 1 << 20
	announced := fmt.Sprintf("Content-Length: %d\r\n", length)
	forwarded := forward.HeaderRequest + `: {"by":"other","sends":0}` + "\r\n"
	for name, text := range map[string]string{
		"announced, nothing sent":   announced + "\r\n",
		"announced, in part":        announced + "\r\n" + strings.Repeat("x", length/2),
		"waiting for 100":           announced + "Expect: 100-continue\r\n\r\n",
		"in chunks":                 "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", length/2),
		"forwarded by an instance":  forwarded + announced + "\r\n",
		"forwarded by one, in part": forwarded + announced + "\r\n" + strings.Repeat("x", length/2),
	} {
		t.Run(name, func(t *testing.T) {
			address, refused := startFullServer(t)
			c, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			// The server may stop reading before all has been written.
			go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+text) }()
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || !response.Close {
				t.Errorf("got %s, Retry-After %q, close %v", response.Status, response.Header.Get("Retry-After"), response.Close)
			}
			answer, isAnswer, err := forward.ReadAnswer(response.Header)
			if err != nil || isAnswer != strings.HasPrefix(name, "forwarded") {
				t.Errorf("answer to an instance: %v, %v", isAnswer, err)
			}
			if isAnswer && (answer.Answer != gateway.NotRun || !answer.Elsewhere) {
				t.Errorf("the forwarding instance is told %+v, want that the request may run elsewhere", answer)
			}
			if refused.Load() != 1 {
				t.Errorf("%d refusals are reported, want 1", refused.Load())
			}
		})
	}
}
