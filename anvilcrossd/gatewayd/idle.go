package gatewayd

import (
	"net"
	"net/http"
	"sync"
	"time"

	"anvilcross/anvilcrossd/socket"
	"anvilcross/kernel/gateway"
	"anvilcross/kernel/value"
)

const (
	// maxInputWait limits the time for which a stop waits until requests are read that have
	// arrived before connections are closed, and inputPollPeriod is how often it looks.
	maxInputWait    = time.Second
	inputPollPeriod = 2 * time.Millisecond
)

// idleSweepPeriod is the interval at which idle connections are checked.
const idleSweepPeriod = time.Second

// callerConnections tracks the callers' connections, and since when each has been idle.
// http.Server.IdleTimeout cannot follow a configuration that changes while the server runs.
type callerConnections struct {
	mutex sync.Mutex
	// idleSince is zero for those that are not idle.
	idleSince map[*callerConnection]time.Time
}

func newCallerConnections() *callerConnections {
	return &callerConnections{idleSince: map[*callerConnection]time.Time{}}
}

// trackState is the server's ConnState hook.
func (i *callerConnections) trackState(n net.Conn, state http.ConnState) {
	c, ok := n.(*callerConnection)
	if !ok {
		return
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch state {
	case http.StateIdle:
		c.received.Store(false)
		c.handled.Store(false)
		c.head.release()
		i.idleSince[c] = time.Now()
	case http.StateClosed, http.StateHijacked:
		c.head.release()
		delete(i.idleSince, c)
	default:
		i.idleSince[c] = time.Time{}
	}
}

// closeIdle closes the connections that have been idle for at least the limit, except those at
// which a request has just arrived.
func (i *callerConnections) closeIdle(limit time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c, since := range i.idleSince {
		if !since.IsZero() && time.Since(since) >= limit && !c.hasRequest() {
			_ = c.Close()
			delete(i.idleSince, c)
		}
	}
}

// haveRequests reports whether requests have arrived that are not handled yet.
func (i *callerConnections) haveRequests() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.idleSince {
		if c.hasRequest() {
			return true
		}
	}
	return false
}

// trackCaller is the ConnState hook of the server for callers.
func (d *daemon) trackCaller(c net.Conn, state http.ConnState) {
	d.callers.trackState(c, state)
	d.callersWaiting.HandleState(c, state)
	switch state {
	case http.StateNew:
		if !d.descriptors.Add() {
			d.makeRoomFor(c)
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
			d.callers.closeIdle(limit)
		}
		d.httpClient.CloseExpired()
		d.closeUnwantedIdle()
		if err := d.descriptors.UpdateLimit(); err != nil {
			d.log.WriteEvent("descriptorLimitUnknown", "reason", err)
		}
		d.refusals.flush()
		if closed := d.httpClient.ClosedForRoom(); closed > closedForRoom {
			d.log.WriteEvent("descriptorsScarce", "open", d.descriptors.Open(), "limit", d.descriptors.Limit(), "idleClosed", closed-closedForRoom)
			closedForRoom = closed
		}
	}
}

// closeUnwantedIdle closes the idle connections to addresses at which no endpoint is listed, and
// to endpoints that do not accept one from each instance.
func (d *daemon) closeUnwantedIdle() {
	addresses := d.httpClient.IdleAddresses()
	var unlisted []string
	var transient value.Set[string]
	d.withGateway(func(g *gateway.Gateway) {
		unlisted, transient = g.UnlistedAddresses(addresses), g.TransientAddresses()
	})
	if len(transient) != d.transientCount {
		d.log.WriteEvent("connectionsScarce", "endpointsWithoutIdle", len(transient))
		d.transientCount = len(transient)
	}
	d.httpClient.SetTransient(transient)
	for _, address := range unlisted {
		d.httpClient.CloseIdle(address)
	}
}

// closeCallersIdle closes the idle connections of callers in a stop. After a pause of the process
// requests may have arrived that nobody has read yet, at these and at connections that are not
// accepted yet: these are read first.
func (d *daemon) closeCallersIdle(listener *callerListener) {
	deadline := time.Now().Add(maxInputWait)
	for ; time.Now().Before(deadline); time.Sleep(inputPollPeriod) {
		d.callers.closeIdle(0)
		if d.hasUnreadInput(listener) {
			continue
		}
		// One that has just been accepted is neither in the backlog nor known to the server.
		if !listener.pause(time.Until(deadline)) {
			break
		}
		if !d.hasUnreadInput(listener) {
			return
		}
		listener.resume()
	}
	d.log.WriteEvent("stopWithInput", "after", maxInputWait)
}

// hasUnreadInput reports whether connections wait to be accepted, or have requests that are not
// handled yet.
func (d *daemon) hasUnreadInput(listener *callerListener) bool {
	waiting, err := socket.Backlog(listener.TCPListener)
	if err != nil {
		d.log.WriteEvent("backlogUnknown", "reason", err)
	}
	return waiting > 0 || d.callers.haveRequests()
}
