package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections knows since when callers' connections are unused. The
// server's own time-out cannot follow a configuration that changes.
type idleConnections struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: map[net.Conn]time.Time{}}
}

func (i *idleConnections) changed(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if state == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// closeIdle closes what has been unused for the given time.
func (i *idleConnections) closeIdle(limit time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.since {
		if time.Since(since) >= limit {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
