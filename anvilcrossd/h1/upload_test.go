package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// uploadBytes is the size of a body that does not fit the send buffers.
const uploadBytes = 8 << 20

// upload sends a long body and returns the response's.
func upload(address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	response, err := NewClient(Config{}).Do(ctx, Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, uploadBytes), MatchesResponse: matchesID("a")})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// startEarlyEndpoint starts a server that answers as soon as it has the head of a request, and then
// lets end decide about the connection, of which the body is unread.
func startEarlyEndpoint(t *testing.T, text string, end func(*net.TCPConn, *http.Request)) string {
	t.Helper()
	return serveConnections(t, func(c net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn), request)
	})
}

// resetSoon resets a connection once the caller waits for the rest of the response.
func resetSoon(c *net.TCPConn, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// An endpoint answers a long upload at once with a response that has no length, sends part of it and
// resets the connection. If the reset is reported to the side that writes, the other side sees an
// ordinary end, and the part looks whole.
func TestResetsWhileABodyIsWrittenAreNoEnd(t *testing.T) {
	const attempts = 100
	for name, head := range map[string]string{"no mark": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "a length": "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 12\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			address := startEarlyEndpoint(t, head+"twelve", resetSoon)
			var mutex sync.Mutex
			whole := 0
			var wait sync.WaitGroup
			for range 10 {
				wait.Go(func() {
					for range attempts / 10 {
						if body, err := upload(address); err == nil {
							mutex.Lock()
							whole++
							mutex.Unlock()
							_ = body
						}
					}
				})
			}
			wait.Wait()
			if whole > 0 {
				t.Errorf("%d of %d responses that were reset look whole", whole, attempts)
			}
		})
	}
}

// An endpoint closes its side in the middle of a response without a length, and reads no more of the
// request.
func TestEndsWhileABodyIsWrittenProveNothing(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	address := startEarlyEndpoint(t, "HTTP/1.1 200 OK\r\nId: a\r\n\r\ntwelve", func(c *net.TCPConn, _ *http.Request) {
		_ = c.CloseWrite()
		<-release
	})
	if body, err := upload(address); err == nil {
		t.Errorf("got %q as a whole response", body)
	}
}

// An endpoint ends a response without a length before it has read the request, and then reads it:
// nothing is missing.
func TestResponsesBeforeTheEndOfTheRequestAreWhole(t *testing.T) {
	for name, r := range cutResponses {
		t.Run(name, func(t *testing.T) {
			address := startEarlyEndpoint(t, r.head+r.body, func(c *net.TCPConn, request *http.Request) {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, request.Body)
			})
			body, err := upload(address)
			wantBody(t, body, err, "twelve bytes")
		})
	}
}
