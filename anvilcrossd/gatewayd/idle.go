package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"anvilcross/anvilcrossd/socket"
	"anvilcross/kernel/gateway"
)

const (
	// maxInputWait limits the time for which a stop waits until requests are read that have
	// arrived before connections are closed, and inputPollPeriod is how often it looks.
	maxInputWait    = time.Second
	inputPollPeriod = 2 * time.Millisecond
	// settleTime is the time from the arrival of a request until its head is read.
	settleTime = 20 * time.Millisecond
)

// idleSweepPeriod is the interval at which idle connections are checked.
const idleSweepPeriod = time.Second

// idleConnections tracks since when each of the callers' connections has been
// idle. http.Server.IdleTimeout cannot follow a configuration that changes
// while the server runs.
type idleConnections struct {
	mutex     sync.Mutex
	idleSince map[net.Conn]time.Time
	// quietSince holds since when nothing has arrived at connections that are to be closed.
	quietSince map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: map[net.Conn]time.Time{}, quietSince: map[net.Conn]time.Time{}}
}

// trackState is the server's ConnState hook.
func (i *idleConnections) trackState(c net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.quietSince, c)
	if state == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// closeIdle closes the connections that have been idle for at least the limit, except those at
// which a request has just arrived.
func (i *idleConnections) closeIdle(limit time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.idleSince {
		if time.Since(since) >= limit && socket.InputOf(c) != socket.Unread {
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}

// closeQuiet closes the connections at which nothing has arrived for settleTime, as seen by
// calls of it, and returns how many are left. The server counts a connection as idle until it
// has read the whole head of a request.
func (i *idleConnections) closeQuiet() (left int) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.idleSince {
		quietSince, seen := i.quietSince[c]
		switch {
		case socket.InputOf(c) == socket.Unread:
			i.quietSince[c] = time.Now().Add(maxInputWait)
		case !seen:
			i.quietSince[c] = time.Now()
		case time.Since(quietSince) >= settleTime:
			_ = c.Close()
			delete(i.idleSince, c)
			delete(i.quietSince, c)
		}
	}
	return len(i.idleSince)
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

// closeCallersIdle closes the idle connections of callers in a stop. After a pause of the process
// requests may have arrived that nobody has read yet, at these and at connections that are not
// accepted yet: these are read first.
func (d *daemon) closeCallersIdle(listener *net.TCPListener) {
	for deadline := time.Now().Add(maxInputWait); time.Now().Before(deadline); time.Sleep(inputPollPeriod) {
		idle := d.idle.closeQuiet()
		waiting, err := socket.Backlog(listener)
		if err != nil {
			d.log.WriteEvent("backlogUnknown", "reason", err)
		}
		if waiting == 0 && idle == 0 {
			return
		}
	}
}
