package gateway

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// crashRetention is how long a crash is remembered.
	crashRetention = 2 * time.Minute
	// maxCrashes bounds the crashes remembered, and maxBlamed the reports in
	// one ping.
	maxCrashes        = 256
	maxReportsPerPing = 12
	// poisonCrashes is the number of endpoints that a content may crash.
	poisonCrashes = 3
	// crashConfirmWindow is how long after an exchange broke the endpoint's end
	// shows that it crashed: it may be listed for three heartbeats.
	crashConfirmWindow = 5 * time.Second
	// maxBrokenExchanges bounds the broken exchanges remembered for an endpoint.
	maxBrokenExchanges = 64
)

// brokenExchange is an exchange that an endpoint broke off.
type brokenExchange struct {
	digest ident.Digest
	at     time.Time
}

// crashTracker finds contents that crash the endpoints that run them. A broken
// exchange alone proves no crash: only if the endpoint is found gone soon
// afterwards is what it was running blamed.
type crashTracker struct {
	table           *blame.Table
	brokenExchanges map[ident.Endpoint][]brokenExchange
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		table:           blame.NewTable(blame.Config{Keep: crashRetention, MaxCrashes: maxCrashes, GuiltyCrashes: poisonCrashes}),
		brokenExchanges: map[ident.Endpoint][]brokenExchange{},
	}
}

// recordBroken takes in that an endpoint broke an exchange off.
func (c *crashTracker) recordBroken(now time.Time, e ident.Endpoint, d ident.Digest) {
	list := append(c.brokenExchanges[e], brokenExchange{digest: d, at: now})
	c.brokenExchanges[e] = list[max(len(list)-maxBrokenExchanges, 0):]
}

// recordResponse takes in that an endpoint lives.
func (c *crashTracker) recordResponse(e ident.Endpoint) { delete(c.brokenExchanges, e) }

// recordEndpointGone takes in that an endpoint is gone, and blames what it was running.
func (c *crashTracker) recordEndpointGone(now time.Time, e ident.Endpoint, s ident.Service) {
	for _, b := range c.brokenExchanges[e] {
		if now.Sub(b.at) <= crashConfirmWindow {
			c.table.Blame(now, blame.Report{Digest: b.digest, Endpoint: e, Service: s, At: b.at})
		}
	}
	delete(c.brokenExchanges, e)
}

// isPoison reports whether a content is not to be run any more.
func (c *crashTracker) isPoison(now time.Time, d ident.Digest) bool {
	return c.table.Crashes(d) >= poisonCrashes && c.table.Standing(now, d) == blame.Guilty
}

// latestReports returns the latest crashes for other instances.
func (c *crashTracker) latestReports(now time.Time) []message.Crash {
	var list []message.Crash
	for _, r := range c.table.Latest(maxReportsPerPing) {
		list = append(list, message.Crash{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, Age: now.Sub(r.At)})
	}
	return list
}

// mergeReports takes in the crashes that another instance saw.
func (c *crashTracker) mergeReports(now time.Time, list []message.Crash) {
	for _, r := range list {
		c.table.Blame(now, blame.Report{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, At: now.Add(-r.Age)})
	}
}

// expireBrokenExchanges forgets broken exchanges that no crash explains.
func (c *crashTracker) expireBrokenExchanges(now time.Time) {
	for _, e := range value.SortedKeys(c.brokenExchanges) {
		list := c.brokenExchanges[e]
		if now.Sub(list[len(list)-1].at) > crashConfirmWindow {
			delete(c.brokenExchanges, e)
		}
	}
}
