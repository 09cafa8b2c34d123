package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"anvilcross/kernel/gateway"
)

// idleSweepPeriod is the interval at which idle connections are checked.
const idleSweepPeriod = time.Second

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

// trackCaller is the ConnState hook of the server for callers. Callers come first: where there
// is no room, an idle connection to an endpoint is closed for each of theirs.
func (d *daemon) trackCaller(c net.Conn, state http.ConnState) {
	d.idle.trackState(c, state)
	switch state {
	case http.StateNew:
		if !d.descriptors.Add() {
			d.httpClient.MakeRoom()
		}
	case http.StateClosed, http.StateHijacked:
		d.descriptors.Remove()
	}
}

// sweepIdleConnections closes, from time to time, the connections that have been idle for too
// long, and those to endpoints that are gone.
func (d *daemon) sweepIdleConnections(stop <-chan struct{}) {
	ticker := time.NewTicker(idleSweepPeriod)
	defer ticker.Stop()
	var closedForRoom int64
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if limit := d.limits.Load().IdleTimeout; limit > 0 {
			d.idle.closeIdle(limit)
		}
		d.httpClient.CloseExpired()
		d.closeIdleToUnlisted()
		if err := d.descriptors.UpdateLimit(); err != nil {
			d.log.WriteEvent("descriptorLimitUnknown", "reason", err)
		}
		if closed := d.httpClient.ClosedForRoom(); closed > closedForRoom {
			d.log.WriteEvent("descriptorsScarce", "open", d.descriptors.Open(), "limit", d.descriptors.Limit(), "idleClosed", closed-closedForRoom)
			closedForRoom = closed
		}
	}
}

// closeIdleToUnlisted closes the idle connections to addresses at which no endpoint is listed.
func (d *daemon) closeIdleToUnlisted() {
	addresses := d.httpClient.IdleAddresses()
	var unlisted []string
	d.withGateway(func(g *gateway.Gateway) { unlisted = g.UnlistedAddresses(addresses) })
	for _, address := range unlisted {
		d.httpClient.CloseIdle(address)
	}
}
