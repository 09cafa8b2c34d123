package h1

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/descriptors"
	"anvilcross/kernel/value"
)

// startKeepingEndpoint starts a server that answers each request and keeps connections open. It
// names a timeout in seconds if that is above zero.
func startKeepingEndpoint(t *testing.T, keepAlive int) string {
	t.Helper()
	header := ""
	if keepAlive > 0 {
		header = fmt.Sprintf("Keep-Alive: timeout=%d\r\n", keepAlive)
	}
	return serveConnections(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: a\r\n%sContent-Length: 1\r\n\r\nx", header); err != nil {
				return
			}
		}
	})
}

// newLimitedClient returns a client in a process that may have so many connections.
func newLimitedClient(t *testing.T, limit int64) (*Client, *descriptors.Budget) {
	t.Helper()
	budget, err := descriptors.NewBudget(descriptors.Config{ReadProcessLimit: func() (int64, error) { return limit * 8 / 7, nil }})
	if err != nil {
		t.Fatal(err)
	}
	return NewClient(Config{Descriptors: budget}), budget
}

func mustGet(t *testing.T, c *Client, address string) {
	t.Helper()
	if _, err := get(c, address, "a"); err != nil {
		t.Fatal(err)
	}
}

// Idle connections to addresses that nobody asks for again stay open until the process has no
// descriptors left.
func TestIdleConnectionsAreBounded(t *testing.T) {
	t.Run("expired ones are closed", func(t *testing.T) {
		c, budget := newLimitedClient(t, 100)
		for range 20 {
			mustGet(t, c, startKeepingEndpoint(t, 2))
		}
		if c.IdleCount() != 20 || budget.Open() != 20 {
			t.Fatalf("%d idle connections of %d open ones, want 20", c.IdleCount(), budget.Open())
		}
		time.Sleep(1100 * time.Millisecond)
		c.CloseExpired()
		if c.IdleCount() != 0 || budget.Open() != 0 || len(c.idle) != 0 {
			t.Fatalf("%d idle connections of %d open ones, %d addresses, want none", c.IdleCount(), budget.Open(), len(c.idle))
		}
	})
	t.Run("those to an endpoint that is gone are closed", func(t *testing.T) {
		c, budget := newLimitedClient(t, 100)
		gone, kept := startKeepingEndpoint(t, 0), startKeepingEndpoint(t, 0)
		mustGet(t, c, gone)
		mustGet(t, c, kept)
		c.CloseIdle(gone)
		if c.IdleCount() != 1 || budget.Open() != 1 || c.IdleAddresses()[0] != kept {
			t.Fatalf("%d idle connections of %d open ones at %v", c.IdleCount(), budget.Open(), c.IdleAddresses())
		}
	})
	t.Run("older ones make room for new connections", func(t *testing.T) {
		c, budget := newLimitedClient(t, 10)
		var addresses []string
		for range 30 {
			addresses = append(addresses, startKeepingEndpoint(t, 0))
			mustGet(t, c, addresses[len(addresses)-1])
		}
		if budget.Open() > budget.Limit() || c.ClosedForRoom() != 30-budget.Limit() {
			t.Fatalf("%d connections are open of %d, %d were closed", budget.Open(), budget.Limit(), c.ClosedForRoom())
		}
		if _, kept := c.idle[addresses[29]]; !kept {
			t.Fatal("the latest connection was closed")
		}
	})
	t.Run("a connection that there is no room for was not sent", func(t *testing.T) {
		c, budget := newLimitedClient(t, 10)
		for budget.TryAdd() {
		}
		_, err := c.Do(context.Background(), Request{Address: startKeepingEndpoint(t, 0), Method: http.MethodGet, Target: "/", Host: "h"})
		if !NotSent(err) {
			t.Fatalf("got %v, want an error that proves that nothing was written", err)
		}
		if err := c.Connect(context.Background(), "127.0.0.1:1"); errors.Cause(err) != ErrNoDescriptors || ConnectionRefused(err) {
			t.Fatalf("got %v, want %v", err, ErrNoDescriptors)
		}
	})
	t.Run("all of a thousand replaced endpoints", func(t *testing.T) {
		c, budget := newLimitedClient(t, 4000)
		address := startKeepingEndpoint(t, 0)
		c.dialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		for n := range 1100 {
			mustGet(t, c, fmt.Sprint("endpoint-", n))
		}
		if c.IdleCount() > maxIdle || budget.Open() > maxIdle {
			t.Fatalf("%d idle connections of %d open ones, want %d at most", c.IdleCount(), budget.Open(), maxIdle)
		}
	})
}

// Connections to endpoints that do not accept one from each instance are kept idle.
func TestTransientAddressesKeepNoConnection(t *testing.T) {
	c := NewClient(Config{})
	scarce, other := startKeepingEndpoint(t, 0), startKeepingEndpoint(t, 0)
	mustGet(t, c, scarce)
	mustGet(t, c, other)
	c.SetTransient(value.NewSet(scarce))
	if got := c.IdleAddresses(); len(got) != 1 || got[0] != other {
		t.Errorf("idle connections to %v, want one to %s", got, other)
	}
	mustGet(t, c, scarce)
	if got := c.IdleCount(); got != 1 {
		t.Errorf("%d idle connections after another request, want 1", got)
	}
	c.SetTransient(nil)
	mustGet(t, c, scarce)
	if got := c.IdleCount(); got != 2 {
		t.Errorf("%d idle connections once there is room, want 2", got)
	}
}
