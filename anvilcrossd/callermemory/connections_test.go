package callermemory

import (
	"net"
	"net/http"
	"testing"
)

// testConnection records whether it has been closed.
type testConnection struct {
	net.Conn
	closed bool
}

func (c *testConnection) Close() error {
	c.closed = true
	return nil
}

// Connections without a whole request take all descriptors, or one with a request is closed in
// place of those.
func TestTheConnectionThatWaitsForLongestIsClosed(t *testing.T) {
	busy := map[net.Conn]bool{}
	connections := NewConnections(ConnectionsConfig{Limit: func() int { return 3 }, HasRequest: func(n net.Conn) bool { return busy[n] }})
	open := func() *testConnection {
		c := &testConnection{}
		connections.HandleState(c, http.StateNew)
		return c
	}
	served := open()
	connections.HandleState(served, http.StateActive)
	connections.HandleWhole(served)
	first, second, third := open(), open(), open()
	// The first one sends the beginning of a head, which does not make it wait anew.
	connections.HandleState(first, http.StateActive)
	fourth := open()
	if !first.closed || second.closed || third.closed || fourth.closed || served.closed {
		t.Fatalf("closed: %v %v %v %v, served %v, want only the first", first.closed, second.closed, third.closed, fourth.closed, served.closed)
	}
	// A request has arrived at the second one, which has been idle for longest.
	connections.HandleState(third, http.StateActive)
	connections.HandleState(second, http.StateIdle)
	connections.HandleWhole(third)
	connections.HandleWhole(fourth)
	busy[second] = true
	if connections.CloseLongest(nil) {
		t.Fatal("a connection at which a request has arrived was closed")
	}
	connections.HandleState(served, http.StateIdle)
	if !connections.CloseLongest(nil) || !served.closed {
		t.Fatal("the idle connection was not closed")
	}
	connections.HandleState(second, http.StateClosed)
	if connections.Waiting() != 0 || connections.Closed() != 2 {
		t.Fatalf("%d connections wait and %d were closed, want 0 and 2", connections.Waiting(), connections.Closed())
	}
}
