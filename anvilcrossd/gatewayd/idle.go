package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections tracks since when each of the callers' connections has been
// idle. http.Server.IdleTimeout cannot follow a configuration that changes
// while the server runs.
type idleConnections struct {
	mutex     sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: map[net.Conn]time.Time{}}
}

// trackState is the server's ConnState hook.
func (i *idleConnections) trackState(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeIdle closes the connections that have been idle for at least the limit.
func (i *idleConnections) closeIdle(limit time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.idleSince {
		if time.Since(since) >= limit {
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}
