// Package link provides the HTTP transport for calls to endpoints and other
// instances. If a whole deployment runs on one machine, the transport can
// emulate the delay and loss of the links between data centres on the client's
// side.
package link

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Config sets up a Transport.
type Config struct {
	// OneWayDelay is added to each direction of a call.
	OneWayDelay time.Duration
	// LossShare is the share of calls, from 0 to 1, that fail before they are
	// sent.
	LossShare float64
	// MaxConnectionsPerHost limits the connections to one address.
	MaxConnectionsPerHost int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// ErrLost is the error of a call that the emulated link lost. Nothing was sent.
var ErrLost = errors.New("link: call lost before it was sent")

const (
	dialTimeout = 500 * time.Millisecond
	// bufferBytes is the size of each of a connection's read and write buffers.
	bufferBytes = 2 << 10
)

// Transport is an http.RoundTripper with an optional emulated link.
type Transport struct {
	config Config
	base   *http.Transport
}

// NewTransport returns a transport without open connections.
func NewTransport(c Config) *Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Transport{config: c, base: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: c.MaxConnectionsPerHost,
		MaxConnsPerHost:     c.MaxConnectionsPerHost,
		IdleConnTimeout:     c.IdleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}

// RoundTrip sends a request and returns its response, delayed by the emulated
// link in both directions. It returns ErrLost if the link loses the call.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.config.LossShare > 0 && rand.Float64() < t.config.LossShare {
		return nil, ErrLost
	}
	t.delay()
	response, err := t.base.RoundTrip(r)
	t.delay()
	return response, err
}

func (t *Transport) delay() {
	if t.config.OneWayDelay > 0 {
		time.Sleep(t.config.OneWayDelay)
	}
}
