package gatewayd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/callermemory"
)

const (
	// waitingMemoryDivisor is the part of the memory, as a divisor, that connections without a
	// whole request may take, and waitingConnectionBytes what one takes: the stacks of its
	// goroutine, its buffers and a head of the published 16 KiB.
	waitingMemoryDivisor   = 8
	waitingConnectionBytes = 24 << 10
	// waitingDescriptorsDivisor is the part of the descriptors, as a divisor, that they may
	// take.
	waitingDescriptorsDivisor = 2
	// unreadMemoryDivisor is the part of the memory, as a divisor, that the unread bytes of callers'
	// connections without a whole request may take in the kernel, which needs
	// receiveBufferFactor times as much as the bytes. minReceiveBufferBytes and
	// maxReceiveBufferBytes bound those of one connection.
	unreadMemoryDivisor   = 8
	receiveBufferFactor   = 2
	minReceiveBufferBytes = 16 << 10
	maxReceiveBufferBytes = 256 << 10
	// peerMemoryDivisor is the part of the memory, as a divisor, for messages of other instances
	// that are being received. A batch usually has a few kilobytes.
	peerMemoryDivisor = 16
	// peerBodyTimeout limits the time to read a batch of messages, of which its sender gives up
	// after peerTimeout.
	peerBodyTimeout = 2 * time.Second
	// maxPeerHeaderBytes limits the head of a message or a forwarded request, which is a caller's
	// head with a few fields of ours.
	maxPeerHeaderBytes = 128 << 10
	// maxOperatorsConnections limits the connections without a whole request to each of the
	// addresses for readiness and metrics, which few clients use.
	maxOperatorsConnections = 64
	// operatorsTimeout limits the reading and the writing there.
	operatorsTimeout = 10 * time.Second
	// maxOperatorsHeaderBytes limits the heads there.
	maxOperatorsHeaderBytes = 16 << 10
	// uncountedHeadBytes is the part of a head that the connection's own buffer holds.
	uncountedHeadBytes = 4 << 10
	// headMemoryFactor is how much memory the bytes of a head take: they are read into a line and
	// then copied to fields.
	headMemoryFactor = 2
	// headSlackBytes is added to twice the published limit to get the size at which a head is
	// not read any further. Optional whitespace does not count against the published limit, and
	// the first bytes of the body are read with the head.
	headSlackBytes = 8 << 10
	// descriptorWait limits the wait until a connection that was closed for another one is gone,
	// and descriptorPollPeriod is how often it looks.
	descriptorWait       = 200 * time.Millisecond
	descriptorPollPeriod = time.Millisecond
	// refusalLogPeriod is the shortest time between two lines about refused callers.
	refusalLogPeriod = time.Second
)

// newCallerLimits sets up what bounds callers and other instances.
func (d *daemon) newCallerLimits() {
	memoryBytes := int64(d.settings.MemoryMegabytes) << 20
	d.callerMemory = callermemory.NewAccount(callermemory.Config{LimitBytes: int64(d.settings.CallerMemoryShare * float64(memoryBytes))})
	d.peerMemory = callermemory.NewAccount(callermemory.Config{LimitBytes: memoryBytes / peerMemoryDivisor})
	d.callersWaiting = callermemory.NewConnections(callermemory.ConnectionsConfig{
		Limit: d.maxWaitingCallers,
		HasRequest: func(n net.Conn) bool {
			c, ok := n.(*callerConnection)
			return ok && c.hasRequest()
		},
	})
	d.peersWaiting = callermemory.NewConnections(callermemory.ConnectionsConfig{
		Limit: func() int { return int(d.descriptors.Limit() / waitingDescriptorsDivisor) },
	})
	d.refusals = &refusalLog{daemon: d}
}

// maxWaitingCallers returns how many connections of callers may have no whole request.
func (d *daemon) maxWaitingCallers() int {
	if limit := d.settings.MaxWaitingConnections; limit > 0 {
		return limit
	}
	byMemory := d.settings.MemoryMegabytes << 20 / waitingMemoryDivisor / waitingConnectionBytes
	return min(byMemory, int(d.descriptors.Limit()/waitingDescriptorsDivisor))
}

// receiveBufferBytes returns how many unread bytes a connection of a caller may have.
func (d *daemon) receiveBufferBytes() int {
	if limit := d.settings.ReceiveBufferBytes; limit > 0 {
		return limit
	}
	bytes := d.settings.MemoryMegabytes << 20 / unreadMemoryDivisor / receiveBufferFactor / max(d.maxWaitingCallers(), 1)
	return min(max(bytes, minReceiveBufferBytes), maxReceiveBufferBytes)
}

// handleWhole records that the whole request on a connection has arrived.
func (d *daemon) handleWhole(n net.Conn) {
	d.callersWaiting.HandleWhole(n)
	d.peersWaiting.HandleWhole(n)
}

// makeRoomFor closes a connection, because the process has more than it may: an idle one to an
// endpoint, or else the caller's that has waited for longest without a whole request, or else the
// new one. No further connection is accepted until it is gone.
func (d *daemon) makeRoomFor(c net.Conn) {
	if d.httpClient.MakeRoom() {
		return
	}
	if d.callersWaiting.CloseLongest(c) {
		for deadline := time.Now().Add(descriptorWait); time.Now().Before(deadline); time.Sleep(descriptorPollPeriod) {
			if d.descriptors.Open() <= d.descriptors.Limit() {
				return
			}
		}
	}
	_ = c.Close()
}

// trackOther returns the ConnState hook of a server for other instances or operators. Their
// connections are never closed for callers' or endpoints', but count.
func (d *daemon) trackOther(waiting *callermemory.Connections) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		waiting.HandleState(c, state)
		switch state {
		case http.StateNew:
			if !d.descriptors.Add() && !d.httpClient.MakeRoom() && !d.callersWaiting.CloseLongest(nil) {
				waiting.CloseLongest(c)
			}
		case http.StateClosed, http.StateHijacked:
			d.descriptors.Remove()
		}
	}
}

// newOperatorsServer returns a server for an address that only the platform and operators use.
func (d *daemon) newOperatorsServer(handler http.Handler) *http.Server {
	waiting := callermemory.NewConnections(callermemory.ConnectionsConfig{Limit: func() int { return maxOperatorsConnections }})
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       operatorsTimeout,
		WriteTimeout:      operatorsTimeout,
		IdleTimeout:       2 * operatorsTimeout,
		MaxHeaderBytes:    maxOperatorsHeaderBytes,
		ConnState:         d.trackOther(waiting),
		ErrorLog:          newErrorLog(d.log),
	}
}

// readPeerBody reads a batch of messages of another instance.
func (d *daemon) readPeerBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, func(), error) {
	controller := http.NewResponseController(w)
	endReading := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	_ = controller.SetReadDeadline(time.Now().Add(peerBodyTimeout))
	body := d.peerMemory.NewHolding(callermemory.PeerMessages, endReading)
	if err := body.Read(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength); err != nil {
		body.Release()
		endReading()
		return nil, nil, errors.Trace(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body.Data(), body.Release, nil
}

// headMemory bounds the head of a request that is being received on one connection. net/http's own
// limit cannot follow a configuration that changes while the server runs.
type headMemory struct {
	daemon *daemon
	conn   net.Conn
	// mutex guards the fields below.
	mutex    sync.Mutex
	received int
	// holding is nil while the head fits into the connection's own buffer.
	holding *callermemory.Holding
}

func (d *daemon) newHeadMemory(n net.Conn) *headMemory { return &headMemory{daemon: d, conn: n} }

// maxReadBytes returns the size at which a head is not read any further.
func (h *headMemory) maxReadBytes() int {
	if limit := h.daemon.limits.Load().MaxHeaderBytes; limit > 0 {
		return 2*limit + headSlackBytes
	}
	return maxHeaderBytes
}

// add counts bytes of a head. It returns an error, on which the server closes the connection, if
// the head is too large or there is no memory for it; the caller then has the answer.
func (h *headMemory) add(bytes int) error {
	if h == nil {
		return nil
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.received += bytes
	if h.received > h.maxReadBytes() {
		return h.refuse(http.StatusRequestHeaderFieldsTooLarge, "")
	}
	if h.received <= uncountedHeadBytes {
		return nil
	}
	if h.holding == nil {
		h.holding = h.daemon.callerMemory.NewHolding(callermemory.Heads, func() { _ = h.conn.SetReadDeadline(time.Unix(1, 0)) })
	}
	if !h.holding.Grow(int64(headMemoryFactor * bytes)) {
		return h.refuse(http.StatusServiceUnavailable, "Retry-After: 1\r\n")
	}
	return nil
}

// refuse answers a request of which the head has not been read.
func (h *headMemory) refuse(status int, fields string) error {
	_ = h.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(h.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), fields)
	return &net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}
}

// release returns the memory once the head has been read.
func (h *headMemory) release() {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.holding != nil {
		h.holding.Release()
		h.holding = nil
	}
	h.received = 0
}

// refusalLog writes who was refused for memory and what was closed for others, with at most one line in
// refusalLogPeriod.
type refusalLog struct {
	daemon *daemon
	mutex  sync.Mutex
	// refused is the number of refused requests since the last line, and lastCaller and lastHost
	// who sent the last one.
	refused              int
	lastCaller, lastHost string
	// ended and closed are the totals of ended holdings and closed connections at the last line.
	ended, closed int64
	writtenAt     time.Time
}

// add records a refused request.
func (l *refusalLog) add(r *http.Request) {
	l.mutex.Lock()
	l.refused++
	l.lastCaller, l.lastHost = r.RemoteAddr, r.Host
	l.mutex.Unlock()
	l.flush()
}

// flush writes a line if something has happened of which no line tells. It is called once a second
// too.
func (l *refusalLog) flush() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.daemon.callerMemory
	ended, closed := m.Counts().Ended, l.daemon.callersWaiting.Closed()
	if l.refused == 0 && ended == l.ended && closed == l.closed || time.Since(l.writtenAt) < refusalLogPeriod {
		return
	}
	l.daemon.log.WriteEvent("callersLimited", "refused", l.refused, "lastCaller", l.lastCaller, "lastHost", l.lastHost,
		"bodiesEnded", ended-l.ended, "connectionsClosed", closed-l.closed, "connectionsWaiting", l.daemon.callersWaiting.Waiting(),
		"held", m.Used(callermemory.Bodies)+m.Used(callermemory.ForwardedBodies)+m.Used(callermemory.Heads), "limit", m.Limit())
	l.refused, l.ended, l.closed, l.writtenAt = 0, ended, closed, time.Now()
	l.lastCaller, l.lastHost = "", ""
}
