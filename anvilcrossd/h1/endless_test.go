package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	// endlessBytes is what an endless endpoint sends at most, so that a test that
	// fails also ends.
	endlessBytes = 64 << 20
	// maxAllocated is what a call to an endless endpoint may allocate: an instance
	// has 184 MB for hundreds of requests.
	maxAllocated = 4 << 20
)

// startEndlessEndpoint starts a server that answers a request with the given
// beginning and then repeats a piece until the caller closes.
func startEndlessEndpoint(t *testing.T, beginning, piece string) string {
	t.Helper()
	block := []byte(strings.Repeat(piece, 1+(64<<10)/len(piece)))
	return serveConnections(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, beginning)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = c.Write(block)
		}
	})
}

// wantBoundedFailure checks that a call to an endless endpoint fails soon,
// without a claim that nothing was written, and with little memory.
func wantBoundedFailure(t *testing.T, address string) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	body, err := get(NewClient(Config{}), address, "a")
	took := time.Since(started)
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	if err == nil || NotSent(err) {
		t.Errorf("got %d bytes and %v, want an error that does not claim that nothing was written", len(body), err)
	}
	if allocated > maxAllocated {
		t.Errorf("allocated %d bytes, want %d at most", allocated, maxAllocated)
	}
	if took > 4*time.Second {
		t.Errorf("the call took %v", took)
	}
}

// An endpoint in trouble may send bytes that are no response until the caller
// closes.
func TestEndlessBytesThatAreNoResponse(t *testing.T) {
	for _, c := range []struct{ name, beginning, piece string }{
		{"a status line", "HTTP/1.1 200 ", "x"},
		{"bytes without a line", "", "x"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
		{"one header field", "HTTP/1.1 200 OK\r\nName: ", "x"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n"},
		{"the body of a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9999999999\r\n\r\n", "x"},
		{"a chunk size", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"a chunk extension", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "Name: value\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) { wantBoundedFailure(t, startEndlessEndpoint(t, c.beginning, c.piece)) })
	}
}

// A response to another request may have a body that never ends and comes
// slowly. It must not hold the request that waits behind it.
func TestSlowBodyOfAnotherResponseIsLeft(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100000\r\n\r\n")
		for range 100 {
			if err != nil {
				return
			}
			time.Sleep(40 * time.Millisecond)
			_, err = io.WriteString(c, "x")
		}
	}()
	started := time.Now()
	if _, err := get(NewClient(Config{}), listener.Addr().String(), "a"); err == nil {
		t.Fatal("no error for a response that never came")
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Fatalf("the call took %v", took)
	}
}
