package placement

import (
	"maps"
	"time"

	"github.com/juju/errors"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

const (
	// longPromptMillis is the usual prefill time from which on a prompt is long.
	longPromptMillis = 50.0
	// placerTimeout is how long an instance waits for the reply of the placer: a few round
	// trips between data centres.
	placerTimeout = 40 * time.Millisecond
	// noPlacerPause is how long a placer is not asked again after it did not reply.
	noPlacerPause = 400 * time.Millisecond
	// maxListed bounds the entries of each list of a request.
	maxListed = 256
)

// IsLong reports whether the prefill of the prompt takes so long that its endpoint is to be chosen
// with knowledge of the other prompts in the fleet.
func (p Prompt) IsLong() bool { return IsLong(p.Tokens) }

// IsLong reports whether a prompt of some tokens is placed by the placer.
func IsLong(tokens int) bool { return prefillMillis(float64(tokens), 1) > longPromptMillis }

// RequestID numbers the placements that an instance asks for.
type RequestID uint64

// Request asks the placer of a service to choose an endpoint for a request with a long prompt. Works
// holds work figures of endpoints that the sender has seen lately.
type Request struct {
	ID       RequestID                     `json:"id"`
	Prompt   Prompt                        `json:"prompt"`
	Excluded []ident.Endpoint              `json:"excluded,omitempty"`
	Works    map[ident.Endpoint]WorkReport `json:"works,omitempty"`
}

// Reply answers a Request. Endpoint is empty if the placer knows none.
type Reply struct {
	ID                RequestID      `json:"id"`
	Endpoint          ident.Endpoint `json:"endpoint,omitempty"`
	StartedUnixMillis int64          `json:"started,omitempty"`
}

// Check returns an error if a request has values that no instance sends.
func (r *Request) Check() error {
	if r.Prompt.Tokens < 0 || r.Prompt.PrefixTokens < 0 || r.Prompt.OutputTokens < 0 {
		return errors.Errorf("placement %d: negative number of tokens", r.ID)
	}
	if len(r.Excluded) > maxListed || len(r.Works) > maxListed {
		return errors.Errorf("placement %d: %d excluded endpoints, %d work figures", r.ID, len(r.Excluded), len(r.Works))
	}
	for centre, n := range r.Prompt.InputBytes {
		if n < 0 {
			return errors.Errorf("placement %d: negative size of the inputs in %q", r.ID, centre)
		}
	}
	for e, w := range r.Works {
		if w.Age < 0 || w.Percent < 0 {
			return errors.Errorf("placement %d: work figure %d of endpoint %q, age %v", r.ID, w.Percent, e, w.Age)
		}
	}
	return nil
}

// Place chooses an endpoint for another instance.
func (t *Table) Place(now time.Time, c *published.Catalog, r Request, candidates []*endpoints.Endpoint) Reply {
	for _, name := range value.SortedKeys(r.Works) {
		w := r.Works[name]
		if e := t.config.Directory.Lookup(name); e != nil && e.StartedUnixMillis == w.StartedUnixMillis {
			e.MergeWork(now.Add(-w.Age), w.Percent)
		}
	}
	chosen := t.drawNear(t.modelChoices(now, c, r.Prompt, candidates))
	if chosen.Endpoint == nil {
		return Reply{ID: r.ID}
	}
	t.counters.Made++
	t.addBacklog(now, chosen)
	s, p := t.service(chosen.Endpoint.Service), chosen.Endpoint.Process()
	s.placed[p] = append(s.placed[p], now)
	return Reply{ID: r.ID, Endpoint: p.Endpoint, StartedUnixMillis: p.StartedUnixMillis}
}

// ClientConfig sets up what asks placers.
type ClientConfig struct {
	Timers *timer.Scheduler
	// Send sends a request to a placer, and LogEvent writes a log line.
	Send     func(to ident.Instance, r Request)
	LogEvent func(name string, fields ...any)
}

// client asks placers to choose endpoints.
type client struct {
	ClientConfig
	lastID RequestID
	waits  map[RequestID]wait
	// pausedUntil holds the time until which a placer is not asked.
	pausedUntil map[ident.Instance]time.Time
	// timedOut counts the requests without a reply.
	timedOut int
}

// wait is a request that has no reply yet.
type wait struct {
	placer ident.Instance
	then   func(named ident.EndpointProcess)
	timer  *timer.Timer
}

func newClient(c ClientConfig) *client {
	return &client{ClientConfig: c, waits: map[RequestID]wait{}, pausedUntil: map[ident.Instance]time.Time{}}
}

// Ask asks a placer, unless it did not reply lately, and reports whether it did. Then is called
// later with the endpoint that the placer has named, or with an empty one.
func (c *client) Ask(placer ident.Instance, r Request, then func(named ident.EndpointProcess)) bool {
	now := c.Timers.Now()
	maps.DeleteFunc(c.pausedUntil, func(_ ident.Instance, until time.Time) bool { return !now.Before(until) })
	if _, paused := c.pausedUntil[placer]; paused {
		return false
	}
	c.lastID++
	r.ID = c.lastID
	c.waits[r.ID] = wait{placer: placer, then: then, timer: c.Timers.After(placerTimeout, func() {
		c.timedOut++
		c.LogEvent("placementTimedOut", "service", r.Prompt.Service, "placer", placer)
		c.pausedUntil[placer] = c.Timers.Now().Add(noPlacerPause)
		c.end(r.ID, ident.EndpointProcess{})
	})}
	c.Send(placer, r)
	return true
}

// HandleReply handles the placer's reply. A late one is ignored.
func (c *client) HandleReply(r Reply) {
	c.end(r.ID, ident.EndpointProcess{Endpoint: r.Endpoint, StartedUnixMillis: r.StartedUnixMillis})
}

func (c *client) end(id RequestID, named ident.EndpointProcess) {
	if w, waiting := c.waits[id]; waiting {
		delete(c.waits, id)
		c.Timers.Stop(w.timer)
		w.then(named)
	}
}

// Abandon ends the waits for a placer that cannot be reached.
func (c *client) Abandon(placer ident.Instance) {
	for _, id := range value.SortedKeys(c.waits) {
		if w, waiting := c.waits[id]; waiting && w.placer == placer {
			c.end(id, ident.EndpointProcess{})
		}
	}
}
