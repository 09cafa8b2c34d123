package metadata

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"anvilcross/platform"
)

// serveThenGoSilent answers the first request on the first connection and all on
// later ones; further requests on the first connection get no answer.
func serveThenGoSilent(l net.Listener) {
	for first := true; ; first = false {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for answered := false; ; answered = true {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if first && answered {
					continue
				}
				const body = `{"items":[],"as-of":1}`
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
		}()
	}
}

// An instance that reads the store again after a while must not wait for a reply on
// a connection that has died in between.
func TestFirstReadAfterAPauseUsesANewConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go serveThenGoSilent(l)
	store := platform.Store{Address: l.Addr().String(), RoundTrip: NewTransport(time.Second).RoundTrip}
	list := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		_, _, err := store.List(ctx)
		return err
	}
	if err := list(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if err := list(listTimeout); err != nil {
		t.Fatalf("the second list failed: %v", err)
	}
}
