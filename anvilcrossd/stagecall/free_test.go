package stagecall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"anvilcross/anvilcrossd/h1"
	"anvilcross/anvilcrossd/replymemory"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/message"
)

// Results count as freed because of a reply that is cut off.
func TestCutOffRepliesToReleasesProveNothing(t *testing.T) {
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
		if request, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve")
	}()
	ended := make(chan string, 2)
	client := NewClient(Config{
		HTTPClient: h1.NewClient(h1.Config{}),
		Memory:     replymemory.NewPool(replymemory.Config{LimitBytes: 1 << 20}),
		OnFreed:    func([]message.ResultHandle) { ended <- "freed" },
		OnNotice:   func(string, endpoints.Notice, time.Duration) {},
		LogEvent:   func(name string, _ ...any) { ended <- name },
	})
	client.FreeResults(listener.Addr().String(), []message.ResultHandle{"a"})
	select {
	case got := <-ended:
		if got != "freeFailed" {
			t.Fatalf("got %s, want freeFailed", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the release has no end")
	}
}
