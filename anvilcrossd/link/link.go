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
	// Delay is the one-way delay of the link; zero for none.
	Delay time.Duration
	// Loss is the share of calls that are lost before they are sent.
	Loss float64
	// MaxPerHost bounds the connections to one address.
	MaxPerHost int
	// KeepIdle is how long an unused connection is kept.
	KeepIdle time.Duration
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
		MaxIdleConnsPerHost: c.MaxPerHost,
		MaxConnsPerHost:     c.MaxPerHost,
		IdleConnTimeout:     c.KeepIdle,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}}
}

// RoundTrip sends a request over the link.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.config.Loss > 0 && rand.Float64() < t.config.Loss {
		return nil, ErrLost
	}
	t.sleep()
	response, err := t.base.RoundTrip(r)
	t.sleep()
	return response, err
}

func (t *Transport) sleep() {
	if t.config.Delay > 0 {
		time.Sleep(t.config.Delay)
	}
}
