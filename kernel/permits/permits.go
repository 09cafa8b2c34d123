// Package permits keeps the permits that an instance asks an issuer for, one for each request to
// an endpoint with a rate limit, and for which endpoints there are none at present. Package
// ratelimit decides who the issuer is and issues them.
package permits

import (
	"maps"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

const (
	// Timeout is how long an instance waits for the reply of the issuer: several round trips
	// between data centres.
	Timeout = 150 * time.Millisecond
	// NoIssuerPause is how long no permits are asked for while no issuer is known or the issuer
	// does not reply.
	NoIssuerPause = 400 * time.Millisecond
)

// Config sets up a Client.
type Config struct {
	Timers *timer.Scheduler
	// Send sends a request to an issuer.
	Send func(issuer ident.Instance, m message.PermitRequest)
	// OnTimeout is called if an issuer has not replied in time.
	OnTimeout func(issuer ident.Instance, p ident.EndpointProcess)
}

// wait is a permit that the issuer has been asked for.
type wait struct {
	issuer  ident.Instance
	process ident.EndpointProcess
	then    func(issued bool)
	timer   *timer.Timer
}

// Client asks for permits. It is not safe for concurrent use.
type Client struct {
	config Config
	lastID message.PermitID
	waits  map[message.PermitID]wait
	// blockedUntil holds when a permit may be had for an endpoint again, and pausedUntil when
	// one may be asked for at all.
	blockedUntil map[ident.EndpointProcess]time.Time
	pausedUntil  time.Time
}

// NewClient returns a client that waits for no permit.
func NewClient(c Config) *Client {
	return &Client{config: c, waits: map[message.PermitID]wait{}, blockedUntil: map[ident.EndpointProcess]time.Time{}}
}

// BlockedFor returns how long there is no permit for an endpoint.
func (c *Client) BlockedFor(now time.Time, p ident.EndpointProcess) time.Duration {
	return max(c.pausedUntil.Sub(now), c.blockedUntil[p].Sub(now), 0)
}

// Block records that there is no permit for an endpoint for a while.
func (c *Client) Block(now time.Time, p ident.EndpointProcess, d time.Duration) {
	c.blockedUntil[p] = now.Add(d)
}

// Pause records that there are no permits for a while.
func (c *Client) Pause(now time.Time, d time.Duration) { c.pausedUntil = now.Add(d) }

// BlockedCount returns the number of endpoints that are kept as blocked.
func (c *Client) BlockedCount() int { return len(c.blockedUntil) }

// Purge forgets what is over.
func (c *Client) Purge(now time.Time) {
	maps.DeleteFunc(c.blockedUntil, func(_ ident.EndpointProcess, until time.Time) bool { return !now.Before(until) })
}

// Ask asks an issuer for a permit. then is called with its reply.
func (c *Client) Ask(issuer ident.Instance, p ident.EndpointProcess, m message.PermitRequest, then func(issued bool)) {
	c.lastID++
	m.ID = c.lastID
	w := wait{issuer: issuer, process: p}
	w.then = func(issued bool) {
		delete(c.waits, m.ID)
		c.config.Timers.Stop(w.timer)
		then(issued)
	}
	w.timer = c.config.Timers.After(Timeout, func() {
		c.config.OnTimeout(issuer, p)
		c.Pause(c.config.Timers.Now(), NoIssuerPause)
		w.then(false)
	})
	c.waits[m.ID] = w
	c.config.Send(issuer, m)
}

// Awaited returns the endpoint for which a permit is awaited; awaited is false for a late reply.
func (c *Client) Awaited(id message.PermitID) (p ident.EndpointProcess, awaited bool) {
	w, awaited := c.waits[id]
	return w.process, awaited
}

// HandleReply handles the issuer's reply to an awaited permit.
func (c *Client) HandleReply(now time.Time, m message.PermitReply) {
	w := c.waits[m.ID]
	if !m.Issued {
		c.Block(now, w.process, m.RetryAfter)
	}
	w.then(m.Issued)
}

// Abandon ends the waits for an issuer that cannot be reached.
func (c *Client) Abandon(issuer ident.Instance) {
	for _, id := range value.SortedKeys(c.waits) {
		if w, waiting := c.waits[id]; waiting && w.issuer == issuer {
			w.then(false)
		}
	}
}
