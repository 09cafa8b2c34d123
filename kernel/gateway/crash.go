package gateway

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// crashMemory is how long a crash is remembered.
	crashMemory = 2 * time.Minute
	// maxCrashes bounds the crashes remembered, and maxBlamed the reports in
	// one ping.
	maxCrashes = 256
	maxBlamed  = 12
	// guiltyCrashes is the number of endpoints that a content may crash.
	guiltyCrashes = 3
	// confirmCrash is how long after an exchange broke the endpoint's end
	// shows that it crashed: it may be listed for three heartbeats.
	confirmCrash = 5 * time.Second
	// maxSuspects bounds the broken exchanges remembered for an endpoint.
	maxSuspects = 64
)

// broken is an exchange that an endpoint broke off.
type broken struct {
	digest ident.Digest
	at     time.Time
}

// crashes finds contents that crash the endpoints that run them. A broken
// exchange alone proves no crash: only if the endpoint is found gone soon
// afterwards is what it was running blamed.
type crashes struct {
	table    *blame.Table
	suspects map[ident.Endpoint][]broken
}

func newCrashes() *crashes {
	return &crashes{
		table:    blame.NewTable(blame.Config{Retention: crashMemory, MaxCrashes: maxCrashes, PoisonCrashes: guiltyCrashes}),
		suspects: map[ident.Endpoint][]broken{},
	}
}

// broke takes in that an endpoint broke an exchange off.
func (c *crashes) broke(now time.Time, e ident.Endpoint, d ident.Digest) {
	list := append(c.suspects[e], broken{digest: d, at: now})
	c.suspects[e] = list[max(len(list)-maxSuspects, 0):]
}

// answered takes in that an endpoint lives.
func (c *crashes) answered(e ident.Endpoint) { delete(c.suspects, e) }

// gone takes in that an endpoint is gone, and blames what it was running.
func (c *crashes) gone(now time.Time, e ident.Endpoint, s ident.Service) {
	for _, b := range c.suspects[e] {
		if now.Sub(b.at) <= confirmCrash {
			c.table.AddReport(now, blame.Report{Digest: b.digest, Endpoint: e, Service: s, At: b.at})
		}
	}
	delete(c.suspects, e)
}

// guilty reports whether a content is not to be run any more.
func (c *crashes) guilty(now time.Time, d ident.Digest) bool {
	return c.table.CrashCount(d) >= guiltyCrashes && c.table.StatusOf(now, d) == blame.Poison
}

// latest returns the latest crashes for other instances.
func (c *crashes) latest(now time.Time) []message.Crash {
	var list []message.Crash
	for _, r := range c.table.LatestReports(maxBlamed) {
		list = append(list, message.Crash{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, Age: now.Sub(r.At)})
	}
	return list
}

// heard takes in the crashes that another instance saw.
func (c *crashes) heard(now time.Time, list []message.Crash) {
	for _, r := range list {
		c.table.AddReport(now, blame.Report{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, At: now.Add(-r.Age)})
	}
}

// sweep forgets broken exchanges that no crash explains.
func (c *crashes) sweep(now time.Time) {
	for _, e := range value.SortedKeys(c.suspects) {
		list := c.suspects[e]
		if now.Sub(list[len(list)-1].at) > confirmCrash {
			delete(c.suspects, e)
		}
	}
}
