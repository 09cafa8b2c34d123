// Package h1 is an HTTP/1.1 client for calls to endpoints. Unlike net/http's
// client, it never retries a request, reports whether any byte of it may have
// reached the endpoint, skips responses to earlier requests on the connection,
// and closes a connection that received unexpected bytes.
package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"anvilcross/anvilcrossd/descriptors"
	"anvilcross/anvilcrossd/socket"
	"anvilcross/kernel/value"
)

const (
	// dialTimeout limits the time to connect; links take a few milliseconds.
	dialTimeout = 350 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged.
	tcpUserTimeout = 2500 * time.Millisecond
	// resetMargin is added to the connect time to get the time for which a new
	// connection is watched before it carries a request with AvoidStale: an
	// endpoint with too many connections resets it one round trip and its own delay
	// in accepting connections later.
	resetMargin = 10 * time.Millisecond
	// smallBodyBytes is the size up to which a body is written before the
	// response is read: it fits the send window. A larger one is written
	// concurrently.
	smallBodyBytes = 8 << 10
	// maxHeadBytes limits the bytes that are read before the body of the response:
	// its head, 1xx responses and responses to other requests.
	maxHeadBytes = 64 << 10
	// skipTimeout limits the time for reading the body of a response to another
	// request.
	skipTimeout = 500 * time.Millisecond
	// maxResponseHeads limits the response heads that are read for one request,
	// including 1xx responses and responses to other requests.
	maxResponseHeads = 3
	// soTCPUserTimeout is the TCP_USER_TIMEOUT socket option on Linux.
	soTCPUserTimeout = 0x12
	// unreadRequestTimeout limits the time for which an endpoint that has ended its response
	// may still read the request.
	unreadRequestTimeout = 2 * time.Second
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
)

// ErrNotSent is the cause of an error if no byte of the request was
// written to the endpoint.
var ErrNotSent = errors.New("nothing was written to the endpoint")

// Client sends requests and keeps idle connections. It is safe for concurrent
// use.
type Client struct {
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	mutex       sync.Mutex
	// idle holds the idle connections of each address, the one that was used last at the
	// end; idleCount is their number.
	idle      map[string][]*connection
	idleCount int
	// transient has the addresses to which no connection is kept idle.
	transient value.Set[string]
	opened    atomic.Int64
	// descriptors counts the open connections; nil for no limit. closedIdle is the number
	// of idle connections that were closed to make room for others.
	descriptors *descriptors.Budget
	closedIdle  atomic.Int64
	// sleep waits while a new connection is watched; tests replace it.
	sleep func(time.Duration)
}

// Request is a request to an endpoint.
type Request struct {
	// Address is the endpoint's host:port.
	Address string
	Method  string
	// Target is the request target: the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AvoidStale is set if the request, because it may not be sent again, needs a
	// connection that the endpoint cannot be closing: one that was in use lately,
	// or a new one that the endpoint has not reset.
	AvoidStale bool
	// SingleUse is set if the request needs a connection of its own, because its
	// response does not tell which request it belongs to: a late copy of an earlier
	// response could be taken for it.
	SingleUse bool
	// MatchesResponse reports whether a response belongs to this request; if it
	// is nil, every response does.
	MatchesResponse func(*http.Response) bool
	// MayWrite is called right before the first byte is written. If it returns
	// false, nothing is written. It may be nil.
	MayWrite func() bool
}

// errHeadTooLong is the error of reading more than maxHeadBytes before a body.
var errHeadTooLong = errors.New("the endpoint sent too many bytes before the body of a response")

// limitedSource reads from a connection. Its limit bounds what the parser of a
// response head keeps in memory.
type limitedSource struct {
	conn    net.Conn
	limited bool
	// remaining is the number of bytes that may still be read if limited is set.
	remaining int
}

func (s *limitedSource) limit(n int) { s.limited, s.remaining = true, n }

func (s *limitedSource) unlimit() { s.limited = false }

func (s *limitedSource) Read(p []byte) (int, error) {
	if !s.limited {
		return s.conn.Read(p)
	}
	if s.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := s.conn.Read(p[:min(len(p), s.remaining)])
	s.remaining -= n
	return n, err
}

// connection is a connection to an endpoint with its read buffer.
type connection struct {
	net.Conn
	source    *limitedSource
	reader    *bufio.Reader
	idleSince time.Time
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// onClose is called once, when the connection is closed.
	onClose func()
	closing sync.Once
}

// Close closes the connection.
func (k *connection) Close() error {
	err := k.Conn.Close()
	k.closing.Do(k.onClose)
	return err
}

// Config configures a Client.
type Config struct {
	// DialContext opens a TCP connection; nil stands for one to the address itself.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Descriptors counts the connections; nil for no limit.
	Descriptors *descriptors.Budget
}

// NewClient returns a client without connections.
func NewClient(c Config) *Client {
	if c.DialContext == nil {
		c.DialContext = newDialer().DialContext
	}
	return &Client{idle: map[string][]*connection{}, sleep: time.Sleep, dialContext: c.DialContext, descriptors: c.Descriptors}
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, soTCPUserTimeout, int(tcpUserTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

// OpenedConnections returns the number of connections opened so far.
func (c *Client) OpenedConnections() int64 { return c.opened.Load() }

// isQuiet reports whether the connection is open and has received no bytes that
// are still unread.
func (k *connection) isQuiet() bool { return socket.InputOf(k.Conn) == socket.None }

// dial opens a connection. With detectReset it waits until the endpoint would
// have reset the connection, and fails if it did.
func (c *Client) dial(ctx context.Context, address string, detectReset bool) (*connection, error) {
	dialStart := time.Now()
	n, err := c.open(ctx, address)
	if err != nil {
		return nil, errors.Annotate(ErrNotSent, err.Error())
	}
	source := &limitedSource{conn: n}
	k := &connection{Conn: n, source: source, reader: bufio.NewReaderSize(source, bufferBytes), onClose: c.countClosed}
	if !detectReset {
		return k, nil
	}
	c.sleep(time.Since(dialStart) + resetMargin)
	if !k.isQuiet() {
		_ = k.Close()
		return nil, errors.Annotate(ErrNotSent, "the new connection was reset")
	}
	return k, nil
}

// Connect connects to an address and closes the connection. It returns nil if the
// connection was accepted. ConnectionRefused tells whether an error proves that no process
// listens there.
func (c *Client) Connect(ctx context.Context, address string) error {
	n, err := c.open(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	defer c.countClosed()
	return n.Close()
}

// ConnectionRefused reports whether an error of Connect means that no process listens at the
// address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Response is an endpoint's response. Body must be closed; the connection is
// reused if the body was read to its end.
type Response struct {
	*http.Response
	exchange *exchange
}

// Abort closes the connection, which interrupts the reading of the body. It may
// be called while another goroutine reads.
func (r *Response) Abort() { _ = r.exchange.connection.Close() }

// Do sends a request and returns the response, whose body is read from the
// connection. The end of the context interrupts the reading of the body too.
// Use NotSent to tell whether an error proves that the request was not written.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var k *connection
	if !r.SingleUse {
		k = c.takeIdle(r.Address, r.AvoidStale)
	}
	if k == nil {
		var err error
		if k, err = c.dial(ctx, r.Address, r.AvoidStale); err != nil {
			return nil, err
		}
	}
	detachContext := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, connection: k, request: r, detachContext: detachContext, writeResult: make(chan error, 1)}
	response, err := x.roundTrip()
	if err != nil {
		x.abandon()
		return nil, errors.Trace(err)
	}
	return response, nil
}

// NotSent reports whether an error of Do proves that no byte of the
// request was written.
func NotSent(err error) bool { return errors.Cause(err) == ErrNotSent }

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	connection *connection
	request    Request
	// detachContext stops the context from interrupting the connection. It
	// returns false if the context has already done so.
	detachContext func() bool
	// writeResult receives the result of writing the request.
	writeResult chan error
	// written is set once the result of writing has been received, which is writeErr.
	written  bool
	writeErr error
	// undelimited is set if the response ends with the connection.
	undelimited bool
	// reusable is set if the connection can be kept after a complete body.
	reusable bool
	finished bool
}

// abandon closes the connection.
func (x *exchange) abandon() {
	x.detachContext()
	_ = x.connection.Close()
}

// roundTrip writes the request and returns the first response that belongs to
// it.
func (x *exchange) roundTrip() (*Response, error) {
	head := x.encodeHead()
	if x.request.MayWrite != nil && !x.request.MayWrite() {
		return nil, errors.Annotate(ErrNotSent, "the request was cancelled before its first byte was written")
	}
	if len(x.request.Body) <= smallBodyBytes {
		head = append(head, x.request.Body...)
		if _, err := x.connection.Write(head); err != nil {
			return nil, errors.Annotate(err, "sending")
		}
		x.writeResult <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, x.request.Body}
			_, err := buffers.WriteTo(x.connection.Conn)
			x.writeResult <- err
		}()
	}
	x.connection.source.limit(maxHeadBytes)
	for range maxResponseHeads {
		response, err := http.ReadResponse(x.connection.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, errors.Annotate(err, "reading the response")
		}
		if err := checkHead(response); err != nil {
			return nil, errors.Trace(err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.request.MatchesResponse == nil || x.request.MatchesResponse(response) {
			x.connection.source.unlimit()
			return x.wrapResponse(response), nil
		}
		if err := x.skipBody(response); err != nil || response.Close {
			return nil, errors.New("the connection ended after a response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// skipBody reads the body of a response to another request to its end.
func (x *exchange) skipBody(response *http.Response) error {
	expiry := time.AfterFunc(skipTimeout, func() { _ = x.connection.Close() })
	defer expiry.Stop()
	_, err := io.Copy(io.Discard, response.Body)
	return errors.Trace(err)
}

// encodeHead returns the request line and the header fields.
func (x *exchange) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(x.request.Method)
	b.WriteByte(' ')
	b.WriteString(x.request.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.request.Host)
	b.WriteString("\r\n")
	_ = x.request.Header.Write(&b)
	if len(x.request.Body) > 0 || x.request.Method == http.MethodPost || x.request.Method == http.MethodPut {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.request.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// wrapResponse determines whether the connection can be reused after the body,
// and wraps the body so that its end finishes the exchange.
func (x *exchange) wrapResponse(response *http.Response) *Response {
	x.connection.idleTimeout = parseIdleTimeout(response)
	select {
	case x.writeErr = <-x.writeResult:
		x.written = true
	default:
		// The response came before the request body was written: the endpoint
		// may still expect the rest of it.
	}
	x.undelimited = !delimited(response)
	x.reusable = x.written && x.writeErr == nil && !x.request.SingleUse && delimited(response) && !response.Close && x.connection.idleTimeout > 0
	response.Body = &responseBody{ReadCloser: response.Body, exchange: x}
	return &Response{Response: response, exchange: x}
}

// delimited reports whether a response has a length or is sent in chunks, so that
// its end does not depend on that of the connection.
func delimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// Delimited reports whether the end of the body is known from the response itself
// and not from the end of the connection.
func (r *Response) Delimited() bool { return delimited(r.Response) }

// responseStart begins each response.
const responseStart = "HTTP/"

// ErrLongerThanNamed is returned where the body of a response ends by its head, but more of it has
// arrived.
var ErrLongerThanNamed = errors.New("the response is longer than its head says")

// ErrEndUnproved is returned where a response without a length ends, but the request could not be
// written: the connection may have been reset in the middle of the response.
var ErrEndUnproved = errors.New("the connection ended while the request was being written, in a response without a length")

// responseBody finishes the exchange when it is read to its end or closed.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		switch {
		case b.exchange.goesOn():
			err = ErrLongerThanNamed
		case !b.exchange.endProved():
			err = ErrEndUnproved
		}
		b.exchange.finish(true)
	}
	return n, err
}

// goesOn reports whether the response goes on after the end that its head names: more has
// arrived that begins no other response.
func (x *exchange) goesOn() bool {
	if x.finished {
		return false
	}
	rest, _ := x.connection.reader.Peek(x.connection.reader.Buffered())
	rest = bytes.TrimLeft(rest, "\r\n")
	start := rest[:min(len(rest), len(responseStart))]
	return !strings.HasPrefix(responseStart, string(start))
}

// endProved reports whether the end of the connection can be that of the response. A response
// without a length is whole only if the request has been written: Linux reports a reset only once,
// and if the writing side gets it, the reading side sees an ordinary end.
func (x *exchange) endProved() bool {
	if !x.undelimited || x.finished {
		return true
	}
	if !x.written {
		expiry := time.AfterFunc(unreadRequestTimeout, func() { _ = x.connection.SetDeadline(time.Unix(1, 0)) })
		x.writeErr = <-x.writeResult
		x.written = true
		expiry.Stop()
	}
	return x.writeErr == nil
}

func (b *responseBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// finish keeps the connection if the body is complete and nothing else was
// received, and closes it otherwise. It may be called more than once.
func (x *exchange) finish(complete bool) {
	if x.finished {
		return
	}
	x.finished = true
	detached := x.detachContext()
	if !complete || !x.reusable || !detached || x.connection.reader.Buffered() > 0 {
		_ = x.connection.Close()
		return
	}
	x.client.putIdle(x.request.Address, x.connection)
}
