package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"anvilcross/anvilcrossd/h1"
)

// sentCounter is a caller's connection that counts the bytes sent, and how many had been when
// its end was last set to be regular.
type sentCounter struct {
	*net.TCPConn
	sent, sentWhenRegular atomic.Int64
}

func (c *sentCounter) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c *sentCounter) SetLinger(seconds int) error {
	if seconds < 0 {
		c.sentWhenRegular.Store(c.sent.Load())
	}
	return c.TCPConn.SetLinger(seconds)
}

// countingListener passes on the connection that it accepts.
type countingListener struct {
	net.Listener
	accepted chan *sentCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counter := &sentCounter{TCPConn: c.(*net.TCPConn)}
	l.accepted <- counter
	return counter, nil
}

// A process is killed right after it has written an answer without a length, and the caller takes the
// part that has left the process for the whole answer.
func TestAnswersEndRegularlyOnlyOnceTheirBytesAreSent(t *testing.T) {
	const bodyBytes = 4800
	for name, body := range map[string][]byte{"short": bytes.Repeat([]byte("a"), 100), "longer than a buffer": bytes.Repeat([]byte("b"), bodyBytes), "long": bytes.Repeat([]byte("c"), 40*bodyBytes)} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := countingListener{Listener: inner, accepted: make(chan *sentCounter, 1)}
			server := &http.Server{ReadHeaderTimeout: time.Second, ConnContext: WithConnection, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				c := &callerExchange{writer: w, request: r}
				c.writeHead(&h1.Response{Response: &http.Response{StatusCode: http.StatusOK, ContentLength: -1, Header: http.Header{}}}, unknownLength)
				_, _ = w.Write(body)
				if err := c.finishAnswer(); err != nil {
					t.Error(err)
				}
			})}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			got := askRaw(t, inner.Addr().String())
			if !bytes.HasSuffix(got, body) {
				t.Fatalf("got %d bytes, which are not the whole body of %d", len(got), len(body))
			}
			if c := <-listener.accepted; c.sentWhenRegular.Load() != int64(len(got)) {
				t.Fatalf("%d of %d bytes were sent when the end of the connection was set to be regular", c.sentWhenRegular.Load(), len(got))
			}
		})
	}
}

// askRaw sends a request and returns all bytes of the response, with its head.
func askRaw(t *testing.T, address string) []byte {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	got, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return got
}
