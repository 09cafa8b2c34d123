// Package h1 sends HTTP/1.1 requests to endpoints. Unlike a general client it
// never sends a request twice, tells whether anything of it may have reached
// the endpoint, skips answers that belong to an earlier request, and drops a
// connection on which unexpected bytes have come.
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
)

const (
	// dialTimeout bounds a new connection: links take a few milliseconds.
	dialTimeout = 350 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 2500 * time.Millisecond
	// keepIdle is how long an unused connection is kept if the endpoint does
	// not say.
	keepIdle = 4 * time.Second
	// keepMargin is how much sooner than the endpoint says a connection is
	// given up, so that a request does not cross its close.
	keepMargin = time.Second
	// freshIdle is how long a connection may have been unused to carry a
	// request that must not be lost in a close that crosses it.
	freshIdle = time.Second
	// settleTime is how much longer than the connect took a new connection is
	// left alone before a request that must not be lost: an endpoint with too
	// many connections resets it after one round trip.
	settleTime = time.Millisecond
	// maxIdle bounds the unused connections to one address.
	maxIdle = 32
	// smallBody is the size up to which a body is written before the answer
	// is read: it fits the send window.
	smallBody = 8 << 10
	// maxStrays bounds the surplus answers that are skipped before the
	// connection is given up.
	maxStrays = 3
	// soTCPUserTimeout is the TCP_USER_TIMEOUT socket option on Linux.
	soTCPUserTimeout = 0x12
	bufferBytes      = 4 << 10
)

// ErrNothingWritten is the error of a request of which nothing was written.
var ErrNothingWritten = errors.New("endpoint cannot be reached")

// Client keeps connections to endpoints.
type Client struct {
	dialer net.Dialer
	mutex  sync.Mutex
	idle   map[string][]*connection
	opened atomic.Int64
}

// Request is one exchange.
type Request struct {
	Address string
	Method  string
	// Target is the request target: path and query as they were sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AvoidStale asks for a connection that the endpoint cannot be closing.
	AvoidStale bool
	// MatchesResponse tells whether an answer belongs to this request.
	MatchesResponse func(*http.Response) bool
	// MayWrite is asked right before the first byte is written; if it says no,
	// nothing is written.
	MayWrite func() bool
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
	keep   time.Duration
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		idle: map[string][]*connection{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
			Control: func(_, _ string, raw syscall.RawConn) error {
				var failure error
				err := raw.Control(func(fd uintptr) {
					failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, soTCPUserTimeout, int(userTimeout/time.Millisecond))
				})
				if err != nil {
					return err
				}
				return failure
			},
		},
	}
}

// OpenedConnections returns the number of connections opened so far.
func (c *Client) OpenedConnections() int64 { return c.opened.Load() }

// take returns an unused connection that is open, or nil.
func (c *Client) take(address string, fresh bool) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[address]
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		unused := time.Since(k.since)
		if unused < k.keep && !(fresh && unused > freshIdle) && k.quiet() {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// quiet reports whether the connection is open and nothing has come on it.
func (k *connection) quiet() bool {
	raw, err := k.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (c *Client) put(address string, k *connection) {
	k.since = time.Now()
	_ = k.SetDeadline(time.Time{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	list := c.idle[address]
	for len(list) > 0 && time.Since(list[0].since) > list[0].keep {
		_ = list[0].Close()
		list = list[1:]
	}
	if len(list) >= maxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[address] = append(list, k)
}

func (c *Client) dial(ctx context.Context, address string, fresh bool) (*connection, error) {
	begun := time.Now()
	n, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Annotate(ErrNothingWritten, err.Error())
	}
	c.opened.Add(1)
	k := &connection{Conn: n, reader: bufio.NewReaderSize(n, bufferBytes)}
	if !fresh {
		return k, nil
	}
	time.Sleep(time.Since(begun) + settleTime)
	if !k.quiet() {
		_ = k.Close()
		return nil, errors.Annotate(ErrNothingWritten, "the new connection was reset")
	}
	return k, nil
}

// Response is an endpoint's answer. Body must be closed; the connection is
// used again if the body was read to its end.
type Response struct {
	*http.Response
}

// Do sends a request and returns the answer's head. An error for which
// Unreached is true proves that nothing was written.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	k := c.take(r.Address, r.AvoidStale)
	if k == nil {
		var err error
		if k, err = c.dial(ctx, r.Address, r.AvoidStale); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{client: c, connection: k, request: r, stop: stop, sent: make(chan error, 1)}
	response, err := x.run()
	if err != nil {
		x.abandon()
		return nil, errors.Trace(err)
	}
	return response, nil
}

// NothingWritten reports whether an error of Do proves that nothing was written.
func NothingWritten(err error) bool { return errors.Cause(err) == ErrNothingWritten }

// exchange is one request on one connection.
type exchange struct {
	client     *Client
	connection *connection
	request    Request
	stop       func() bool
	sent       chan error
	reusable   bool
	ended      bool
}

func (x *exchange) abandon() {
	x.stop()
	_ = x.connection.Close()
}

func (x *exchange) run() (*Response, error) {
	head := x.head()
	if x.request.MayWrite != nil && !x.request.MayWrite() {
		return nil, errors.Annotate(ErrNothingWritten, "given up before the first byte")
	}
	if len(x.request.Body) <= smallBody {
		head = append(head, x.request.Body...)
		if _, err := x.connection.Write(head); err != nil {
			return nil, errors.Annotate(err, "sending")
		}
		x.sent <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, x.request.Body}
			_, err := buffers.WriteTo(x.connection.Conn)
			x.sent <- err
		}()
	}
	for range maxStrays {
		response, err := http.ReadResponse(x.connection.reader, &http.Request{Method: x.request.Method})
		if err != nil {
			return nil, errors.Annotate(err, "reading the answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if x.request.MatchesResponse == nil || x.request.MatchesResponse(response) {
			return x.wrap(response), nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errors.New("the connection ended with an answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

func (x *exchange) head() []byte {
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

// wrap decides whether the connection may be used again once the body ends.
func (x *exchange) wrap(response *http.Response) *Response {
	x.connection.keep = keepTime(response)
	select {
	case err := <-x.sent:
		x.reusable = err == nil
	default:
		// The answer came before the body was sent: the rest of the body may
		// still be expected.
	}
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	x.reusable = x.reusable && delimited && !response.Close && x.connection.keep > 0
	response.Body = &body{ReadCloser: response.Body, exchange: x}
	return &Response{Response: response}
}

// keepTime is how long the endpoint keeps the connection open, less a margin.
func keepTime(response *http.Response) time.Duration {
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepMargin, 0)
		}
	}
	return keepIdle
}

// body ends the exchange when it is read to its end or closed.
type body struct {
	io.ReadCloser
	exchange *exchange
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.finish(true)
	}
	return n, err
}

func (b *body) Close() error {
	b.exchange.finish(false)
	return nil
}

// finish gives the connection back or closes it.
func (x *exchange) finish(whole bool) {
	if x.ended {
		return
	}
	x.ended = true
	stopped := x.stop()
	if !whole || !x.reusable || !stopped || x.connection.reader.Buffered() > 0 {
		_ = x.connection.Close()
		return
	}
	x.client.put(x.request.Address, x.connection)
}
