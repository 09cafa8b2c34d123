package h1

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/value"
)

const (
	// maxIdlePerAddress limits the idle connections to one address, and maxIdle those to
	// all addresses.
	maxIdlePerAddress = 32
	maxIdle           = 1024
	// defaultIdleTimeout is how long an unused connection is kept if the
	// endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the endpoint's Keep-Alive timeout, so
	// that no request is sent while the endpoint closes the connection.
	idleTimeoutMargin = time.Second
	// staleAfter is how long a connection may have been idle to carry a request
	// with AvoidStale: the endpoint may be closing one that is idle for longer.
	staleAfter = time.Second
)

// ErrNoDescriptors is the cause of an error if the process has no descriptor left for a
// connection to an endpoint.
var ErrNoDescriptors = errors.New("no descriptor is left for a connection")

// takeIdle returns an idle connection that is open, or nil. It tries the one
// that was used last first, and closes those that it rejects.
func (c *Client) takeIdle(address string, avoidStale bool) *connection {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		list := c.idle[address]
		if len(list) == 0 {
			return nil
		}
		k := list[len(list)-1]
		c.setIdle(address, list[:len(list)-1])
		idleTime := time.Since(k.idleSince)
		if idleTime < k.idleTimeout && !(avoidStale && idleTime > staleAfter) && k.isQuiet() {
			return k
		}
		_ = k.Close()
	}
}

// setIdle replaces the idle connections of an address.
func (c *Client) setIdle(address string, list []*connection) {
	c.idleCount += len(list) - len(c.idle[address])
	if len(list) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = list
}

// putIdle keeps a connection for later requests. If there are too many, it closes the one
// that has been idle for longest.
func (c *Client) putIdle(address string, k *connection) {
	k.idleSince = time.Now()
	_ = k.SetDeadline(time.Time{})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.transient.Has(address) {
		_ = k.Close()
		return
	}
	c.setIdle(address, append(c.idle[address], k))
	switch {
	case len(c.idle[address]) > maxIdlePerAddress:
		c.closeFirst(address)
	case c.idleCount > maxIdle:
		c.closeOldest()
	}
}

// SetTransient sets the addresses to which no connection is kept idle, in place of earlier ones.
func (c *Client) SetTransient(addresses value.Set[string]) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.transient = addresses
	for address := range addresses {
		for _, k := range c.idle[address] {
			_ = k.Close()
		}
		c.setIdle(address, nil)
	}
}

// closeFirst closes the connection to an address that has been idle for longest.
func (c *Client) closeFirst(address string) {
	list := c.idle[address]
	_ = list[0].Close()
	c.setIdle(address, list[1:])
}

// closeOldest closes the connection that has been idle for longest, and reports whether there
// was one.
func (c *Client) closeOldest() bool {
	oldest := ""
	for address, list := range c.idle {
		if oldest == "" || list[0].idleSince.Before(c.idle[oldest][0].idleSince) {
			oldest = address
		}
	}
	if oldest == "" {
		return false
	}
	c.closeFirst(oldest)
	return true
}

// MakeRoom closes the connection that has been idle for longest, because the process has too
// many, and reports whether there was one.
func (c *Client) MakeRoom() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closeOldest() {
		return false
	}
	c.closedIdle.Add(1)
	return true
}

// CloseExpired closes the connections that have been idle for too long. It has to be called
// from time to time, since nobody may ask for their addresses again.
func (c *Client) CloseExpired() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for address, list := range c.idle {
		var kept []*connection
		for _, k := range list {
			if time.Since(k.idleSince) < k.idleTimeout {
				kept = append(kept, k)
				continue
			}
			_ = k.Close()
		}
		c.setIdle(address, kept)
	}
}

// IdleAddresses returns the addresses with idle connections.
func (c *Client) IdleAddresses() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Sorted(maps.Keys(c.idle))
}

// CloseIdle closes the idle connections to an address, because its endpoint is gone.
func (c *Client) CloseIdle(address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, k := range c.idle[address] {
		_ = k.Close()
	}
	c.setIdle(address, nil)
}

// IdleCount returns the number of idle connections.
func (c *Client) IdleCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idleCount
}

// ClosedForRoom returns how many idle connections were closed to make room for others.
func (c *Client) ClosedForRoom() int64 { return c.closedIdle.Load() }

// open opens a TCP connection, for which older idle ones may have to be closed.
func (c *Client) open(ctx context.Context, address string) (net.Conn, error) {
	for c.descriptors != nil && !c.descriptors.TryAdd() {
		if !c.MakeRoom() {
			return nil, ErrNoDescriptors
		}
	}
	n, err := c.dialContext(ctx, "tcp4", address)
	if err != nil {
		c.countClosed()
		return nil, err
	}
	c.opened.Add(1)
	return n, nil
}

// countClosed counts a connection as closed.
func (c *Client) countClosed() {
	if c.descriptors != nil {
		c.descriptors.Remove()
	}
}

// parseIdleTimeout returns how long the connection may stay idle: the
// endpoint's Keep-Alive timeout minus idleTimeoutMargin, or defaultIdleTimeout.
func parseIdleTimeout(response *http.Response) time.Duration {
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
