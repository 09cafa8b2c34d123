package gatewayd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/entry"
	"anvilcross/anvilcrossd/socket"
)

// writeTimeout limits the time for which a caller may take none of what is written to it: it would
// keep its connection, its request and the endpoint's answer. net/http writes 4 KiB at a time, and at
// most the buffered 1 MiB of an answer.
const writeTimeout = 30 * time.Second

// callerListener accepts callers' connections. While it is paused, the server knows all
// connections that have been accepted.
type callerListener struct {
	*net.TCPListener
	// newHeadMemory returns the memory for the heads of a connection.
	newHeadMemory func(net.Conn) *headMemory
	// writeTimeout limits the time for which a caller may take nothing.
	writeTimeout time.Duration
	// paused and resumed hand the accepting goroutine's pause over.
	paused, resumed chan struct{}
	closed          chan struct{}
	closing         sync.Once
}

func newCallerListener(l *net.TCPListener, newHeadMemory func(net.Conn) *headMemory) *callerListener {
	return &callerListener{TCPListener: l, newHeadMemory: newHeadMemory, writeTimeout: writeTimeout, paused: make(chan struct{}), resumed: make(chan struct{}), closed: make(chan struct{})}
}

// Accept returns a callerConnection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	for errors.Is(err, os.ErrDeadlineExceeded) {
		select {
		case l.paused <- struct{}{}:
		case <-l.closed:
			return nil, net.ErrClosed
		}
		select {
		case <-l.resumed:
		case <-l.closed:
			return nil, net.ErrClosed
		}
		c, err = l.AcceptTCP()
	}
	if err != nil {
		return nil, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		_ = c.Close()
		return nil, errors.Trace(err)
	}
	return &callerConnection{TCPConn: c, raw: raw, head: l.newHeadMemory(c), writeTimeout: l.writeTimeout}, nil
}

// pause stops accepting connections, and reports whether that was so within a time.
func (l *callerListener) pause(limit time.Duration) bool {
	_ = l.SetDeadline(time.Unix(1, 0))
	select {
	case <-l.paused:
		return true
	case <-time.After(limit):
		return false
	}
}

// resume goes on accepting connections after a pause.
func (l *callerListener) resume() {
	_ = l.SetDeadline(time.Time{})
	l.resumed <- struct{}{}
}

// Close closes the listener.
func (l *callerListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

// callerConnection is a caller's connection that knows whether a request has arrived that is not
// handled yet. The server counts it as idle until it has parsed the whole head, and drops a
// request whose head it has read when it is told to shut down.
type callerConnection struct {
	*net.TCPConn
	raw syscall.RawConn
	// received is set before any bytes are taken from the socket, so that at each moment they
	// are seen there or here. handled is set while a request is handled.
	received, handled atomic.Bool
	// head is the memory for the head that is being received.
	head *headMemory
	// writeTimeout limits the time for one write.
	writeTimeout time.Duration
}

// Read reads from the connection.
func (c *callerConnection) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) bool {
		before := c.received.Swap(true)
		for n, readErr = syscall.Read(int(fd), p); readErr == syscall.EINTR; n, readErr = syscall.Read(int(fd), p) {
		}
		if n <= 0 {
			c.received.Store(before)
		}
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	}
	if !c.handled.Load() {
		if err := c.head.add(n); err != nil {
			return 0, err
		}
	}
	return n, nil
}

// maxWriteBytes is the most that is written within one writeTimeout, so that a caller that reads
// slowly is not taken for one that does not read.
const maxWriteBytes = 64 << 10

// Write writes to the connection. It fails if the caller takes nothing for too long.
func (c *callerConnection) Write(p []byte) (int, error) {
	written := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
		n, err := c.TCPConn.Write(p[written:min(len(p), written+maxWriteBytes)])
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// ReadFrom writes what it reads, as Write does. The method of TCPConn would write without it.
func (c *callerConnection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// hasRequest reports whether a request, or a part of it, has arrived that is not handled yet.
func (c *callerConnection) hasRequest() bool {
	// In this order: what is unread may be read in between.
	unread := socket.InputOf(c) == socket.Unread
	return (unread || c.received.Load()) && !c.handled.Load()
}

// callerKey is the context key of a request's callerConnection.
type callerKey struct{}

// withCaller is the ConnContext hook of the server for callers.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(entry.WithConnection(ctx, c), callerKey{}, c)
}

// markHandled returns a handler that marks the connections of requests as handled.
func markHandled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerKey{}).(*callerConnection); ok {
			c.handled.Store(true)
			c.head.release()
		}
		next.ServeHTTP(w, r)
	})
}
