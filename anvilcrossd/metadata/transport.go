package metadata

import (
	"net"
	"net/http"
	"time"
)

// idleConnectionTimeout is how long an unused connection to the store is kept. It
// covers the pauses of an instance that reads. One that begins to read again later
// opens a new connection, since the old one may be dead without a reset.
const idleConnectionTimeout = maxRetryPause + 200*time.Millisecond

// NewTransport returns the HTTP transport for calls to the store.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnectionTimeout}
}
