package callermemory

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// ConnectionsConfig sets up Connections.
type ConnectionsConfig struct {
	// Limit returns how many connections may be open without a whole request.
	Limit func() int
	// HasRequest reports whether a request has arrived at an idle connection, which is
	// then not closed. It may be nil.
	HasRequest func(net.Conn) bool
}

// Connections bounds the connections of a server on which no whole request has arrived. It is
// safe for concurrent use.
type Connections struct {
	config ConnectionsConfig
	mutex  sync.Mutex
	// waiting has the connections without a whole request, the one that has waited for longest
	// first, and places their elements.
	waiting *list.List
	places  map[net.Conn]*list.Element
	closed  int64
}

// waitingConnection is a connection without a whole request.
type waitingConnection struct {
	conn net.Conn
	// idle is set if no byte of its next request has arrived.
	idle bool
}

// NewConnections returns a bound without connections.
func NewConnections(c ConnectionsConfig) *Connections {
	return &Connections{config: c, waiting: list.New(), places: map[net.Conn]*list.Element{}}
}

// HandleState is the ConnState hook of the server.
func (c *Connections) HandleState(n net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew:
		c.wait(n, false)
		for c.waiting.Len() > c.config.Limit() && c.closeLongest(n) {
		}
	case http.StateIdle:
		c.wait(n, true)
	case http.StateActive:
		if place := c.places[n]; place == nil || place.Value.(*waitingConnection).idle {
			c.wait(n, false)
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(n)
	}
}

// HandleWhole records that a whole request has arrived.
func (c *Connections) HandleWhole(n net.Conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.remove(n)
}

// CloseLongest closes the connection, other than the given one, that has waited for longest for a
// whole request. It returns false if there is none.
func (c *Connections) CloseLongest(except net.Conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closeLongest(except)
}

// Waiting returns the number of connections without a whole request.
func (c *Connections) Waiting() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.waiting.Len()
}

// Closed returns how many connections were closed for others.
func (c *Connections) Closed() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closed
}

func (c *Connections) wait(n net.Conn, idle bool) {
	c.remove(n)
	c.places[n] = c.waiting.PushBack(&waitingConnection{conn: n, idle: idle})
}

func (c *Connections) remove(n net.Conn) {
	if place := c.places[n]; place != nil {
		c.waiting.Remove(place)
		delete(c.places, n)
	}
}

func (c *Connections) closeLongest(except net.Conn) bool {
	for place := c.waiting.Front(); place != nil; place = place.Next() {
		w := place.Value.(*waitingConnection)
		if w.conn == except || w.idle && c.config.HasRequest != nil && c.config.HasRequest(w.conn) {
			continue
		}
		c.remove(w.conn)
		c.closed++
		_ = w.conn.Close()
		return true
	}
	return false
}
