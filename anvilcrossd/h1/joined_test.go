package h1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

// A cut copy of an earlier response is joined with the head of the next one, and the caller gets
// the status of the copy.
func TestCutCopiesAreNotJoinedWithTheNextHead(t *testing.T) {
	head := func(status, id string) string {
		return "HTTP/1.1 " + status + "\r\nDate: Tue, 08 Dec 2026 03:00:00 GMT\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 3\r\nId: " + id + "\r\nLoad: 1,0,6\r\n\r\n"
	}
	for name, statuses := range map[string][2]string{
		"a success before a failure": {"200 OK", "500 Internal Server Error"},
		"a failure before a success": {"500 Internal Server Error", "200 OK"},
	} {
		copied, own := head(statuses[0], "b"), head(statuses[1], "a")+"own"
		address := serveConnections(t, func(c net.Conn) {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			cut, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
			_, _ = io.WriteString(c, copied[:cut]+own)
		})
		for cut := 1; cut < len(copied); cut++ {
			t.Run(fmt.Sprintf("%s, cut after %d bytes", name, cut), func(t *testing.T) {
				wantOwnStatus(t, address, cut, statuses[1])
			})
		}
	}
}

// wantOwnStatus checks that a request gets no response, or the one with the given status.
func wantOwnStatus(t *testing.T, address string, cut int, status string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	response, err := NewClient(Config{}).Do(ctx, Request{Address: address, Method: http.MethodGet, Target: "/" + strconv.Itoa(cut), Host: "h", Header: http.Header{}, MatchesResponse: matchesID("a")})
	if err != nil {
		if NotSent(err) {
			t.Fatalf("a request that was written counts as not sent: %v", err)
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.Status != status {
		t.Fatalf("got %q, want %q", response.Status, status)
	}
}

// A head with two values of a field that may come once is taken for one head, or one with
// ordinary fields for two.
func TestFieldsOfTwoHeads(t *testing.T) {
	for fields, joined := range map[string]bool{
		"Content-Type: text/plain\r\nContent-Type: text/html\r\n":  true,
		"Content-Type: text/plain\r\nContent-Type: text/plain\r\n": false,
		"Retry-After: 1\r\nRetry-After: 3\r\n":                     true,
		"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n":                   false,
		"Upgrade: HTTP/2.0\r\nVia: HTTP/1.1 proxy\r\n":             false,
		"Note: HTTP/1.1 500 Internal Server Error\r\n":             true,
	} {
		t.Run(fields, func(t *testing.T) {
			address, _ := startEndpoint(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+fields+"Content-Length: 3\r\n\r\nown")
			if _, err := get(NewClient(Config{}), address, "a"); (errors.Cause(err) == ErrJoinedHeads) != joined {
				t.Errorf("got %v, want a joined head: %v", err, joined)
			}
		})
	}
}
