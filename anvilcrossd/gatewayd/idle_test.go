package gatewayd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A planned stop closes a connection of which a part of a request has been read, because the
// server counts it as idle until it has parsed the whole head.
func TestConnectionsWithAPartOfARequestAreNotIdle(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	idle := newCallerConnections()
	server := &http.Server{
		ConnState:   idle.trackState,
		ConnContext: withCaller,
		Handler:     markHandled(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })),
	}
	defer func() { _ = server.Close() }()
	go func() {
		_ = server.Serve(newCallerListener(listener.(*net.TCPListener), func(net.Conn) *headMemory { return nil }))
	}()
	c, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, parts := range [][]string{{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, {"GET / HT", "TP/1.1\r\nHo", "st: h\r\n\r\n"}} {
		for n, part := range parts {
			if n > 0 {
				time.Sleep(60 * time.Millisecond)
				if idle.closeIdle(0); !idle.haveRequests() {
					t.Fatalf("a request of which %d parts have come is not seen", n)
				}
			}
			_, _ = io.WriteString(c, part)
		}
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("no answer to a request in %d parts: %v", len(parts), err)
		}
		_ = response.Body.Close()
	}
	time.Sleep(60 * time.Millisecond)
	idle.closeIdle(0)
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("an idle connection is not closed: %v", err)
	}
}
