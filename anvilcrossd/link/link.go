// Package link makes the HTTP clients of the daemon. On one machine it can
// emulate the delay and the loss of the links between data centres, at the
// client's side of every call that crosses one.
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
	// OneWayDelay is the one-way delay of the link; zero for none.
	OneWayDelay time.Duration
	// LossShare is the share of calls that are lost before they are sent.
	LossShare float64
	// MaxConnectionsPerHost bounds the connections to one address.
	MaxConnectionsPerHost int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
}

// ErrLost is the error of a call that the emulated link lost. Nothing of it
// was sent.
var ErrLost = errors.New("link: call lost before it was sent")

const (
	dialTimeout = 500 * time.Millisecond
	// bufferBytes is the size of a connection's buffers, for each direction.
	bufferBytes = 2 << 10
)

// Transport is an HTTP round tripper with an emulated link.
type Transport struct {
	config Config
	base   *http.Transport
}

// NewTransport returns a transport that keeps connections open.
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

// RoundTrip sends a request over the link.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.config.LossShare > 0 && rand.Float64() < t.config.LossShare {
		return nil, ErrLost
	}
	t.sleep()
	response, err := t.base.RoundTrip(r)
	t.sleep()
	return response, err
}

func (t *Transport) sleep() {
	if t.config.OneWayDelay > 0 {
		time.Sleep(t.config.OneWayDelay)
	}
}
