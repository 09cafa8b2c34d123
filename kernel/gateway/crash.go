package gateway

import (
	"slices"
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

const (
	// crashRetention is how long a crash report is kept.
	crashRetention = 2 * time.Minute
	// maxCrashes limits the crashes that are kept, and maxReportsPerPing the
	// reports in one ping.
	maxCrashes        = 256
	maxReportsPerPing = 12
	// crashConfirmWindow is the time after a broken exchange within which the
	// loss of the endpoint counts as its crash. A crashed endpoint stays listed
	// for up to three heartbeats.
	crashConfirmWindow = 5 * time.Second
	// maxBrokenExchanges limits the broken exchanges that are kept per
	// endpoint.
	maxBrokenExchanges = 64
)

// brokenExchange is an attempt that failed as Broken, or whose answer looks complete but ended
// with its connection.
type brokenExchange struct {
	digest ident.Digest
	at     time.Time
	// address is the endpoint's, and parts holds the prompt parts that may have made
	// it crash. ran is how long the answer had been running.
	address string
	parts   []ident.PromptPart
	ran     time.Duration
	// retried is set if an earlier attempt at the same request had broken.
	retried bool
	// looksComplete is set if the answer may have been whole, and suspects holds what is
	// cleared if it was.
	looksComplete bool
	suspects      []ident.PromptPart
}

// crashTracker finds poison content: requests that crash the endpoints that run
// them. A broken exchange alone does not prove a crash. Only if the endpoint is
// found gone soon afterwards is the content blamed that was running there.
type crashTracker struct {
	table           *blame.Table
	parts           *blame.Parts
	brokenExchanges map[ident.Endpoint][]brokenExchange
	// checking holds the endpoints that are about to be checked.
	checking value.Set[ident.Endpoint]
}

func newCrashTracker() *crashTracker {
	return &crashTracker{
		table:           blame.NewTable(blame.Config{Retention: crashRetention, MaxCrashes: maxCrashes, PoisonCrashes: partCrashes}),
		parts:           newParts(),
		brokenExchanges: map[ident.Endpoint][]brokenExchange{},
		checking:        value.NewSet[ident.Endpoint](),
	}
}

// recordBroken records a broken exchange with an endpoint.
func (c *crashTracker) recordBroken(e ident.Endpoint, b brokenExchange) {
	exchanges := append(c.brokenExchanges[e], b)
	c.brokenExchanges[e] = exchanges[max(len(exchanges)-maxBrokenExchanges, 0):]
}

// recordResponse records that an endpoint has responded to a request sent at a time, so it has
// not crashed. It returns the exchanges whose answers were whole after all, since the process
// went on that had this request before their end.
func (c *crashTracker) recordResponse(now time.Time, e ident.Endpoint, sentAt time.Time) []brokenExchange {
	var whole, undecided []brokenExchange
	for _, b := range c.brokenExchanges[e] {
		switch {
		case !b.looksComplete:
		case now.Sub(b.at) < checkDelay:
			undecided = append(undecided, b)
		case sentAt.Before(b.at):
			whole = append(whole, b)
		}
	}
	if delete(c.brokenExchanges, e); len(undecided) > 0 {
		c.brokenExchanges[e] = undecided
	}
	return whole
}

// recordEndpointGone records that an endpoint is gone, and blames the content
// of its recent broken exchanges for the crash. It returns these exchanges. One that leaves
// may have completed its last answers.
func (c *crashTracker) recordEndpointGone(now time.Time, e *endpoints.Endpoint) []brokenExchange {
	blamed := slices.DeleteFunc(c.brokenExchanges[e.Name], func(b brokenExchange) bool {
		return now.Sub(b.at) > crashConfirmWindow || b.looksComplete && e.IsLeaving()
	})
	for _, b := range blamed {
		c.table.AddReport(now, blame.Report{Digest: b.digest, Endpoint: e.Name, Service: e.Service, At: b.at})
	}
	delete(c.brokenExchanges, e.Name)
	return blamed
}

// recordEndpointGone records that an endpoint is gone. If requests of this instance
// were running there, it has crashed.
func (g *Gateway) recordEndpointGone(e *endpoints.Endpoint) {
	blamed := g.crashes.recordEndpointGone(g.now(), e)
	if len(blamed) == 0 {
		return
	}
	crash := blame.PartCrash{Address: blamed[0].address, At: blamed[0].at}
	ran := map[ident.PromptPart]time.Duration{}
	retried := value.NewSet[ident.PromptPart]()
	for _, b := range blamed {
		for _, d := range b.parts {
			ran[d] = max(ran[d], b.ran)
			if b.retried {
				retried.Add(d)
			}
		}
	}
	crash.Parts, crash.Retried = value.SortedKeys(ran), retried.Sorted()
	for _, d := range crash.Parts {
		crash.Ran = append(crash.Ran, ran[d])
	}
	g.out.LogEvent("endpointCrashed", "endpoint", e.Name, "service", e.Service, "requests", len(blamed), "parts", loggedParts(crash.Parts), "ran", crash.Ran[:min(len(crash.Ran), maxLoggedParts)], "retried", len(crash.Retried))
	if len(crash.Parts) > 0 {
		g.crashes.parts.AddCrash(g.now(), crash)
	}
}

// latestReports returns the latest crash reports, to be sent to other
// instances.
func (c *crashTracker) latestReports(now time.Time) []message.CrashReport {
	var reports []message.CrashReport
	for _, r := range c.table.LatestReports(maxReportsPerPing) {
		reports = append(reports, message.CrashReport{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, Age: now.Sub(r.At)})
	}
	return reports
}

// mergeReports adds the crash reports of another instance. One of an earlier build tells of
// contents in no other way.
func (g *Gateway) mergeReports(now time.Time, p message.Ping) {
	for _, r := range p.CrashReports {
		g.crashes.table.AddReport(now, blame.Report{Digest: r.Digest, Endpoint: r.Endpoint, Service: r.Service, At: now.Add(-r.Age)})
	}
	if p.TellsContents || len(p.CrashReports) == 0 {
		return
	}
	for _, r := range p.CrashReports {
		address := string(r.Endpoint)
		if e := g.directory.Lookup(r.Endpoint); e != nil {
			address = e.Address
		}
		g.crashes.parts.AddCrash(now, blame.PartCrash{Address: address, At: now.Add(-r.Age), Parts: []ident.PromptPart{contentOf(r.Digest)}})
	}
	g.updateQuarantine(now)
}

// expireBrokenExchanges drops the broken exchanges of endpoints that were not
// lost within crashConfirmWindow. It returns those whose answers were whole.
func (c *crashTracker) expireBrokenExchanges(now time.Time) []brokenExchange {
	var whole []brokenExchange
	for _, e := range value.SortedKeys(c.brokenExchanges) {
		exchanges := c.brokenExchanges[e]
		if now.Sub(exchanges[len(exchanges)-1].at) > crashConfirmWindow {
			whole = append(whole, slices.DeleteFunc(exchanges, func(b brokenExchange) bool { return !b.looksComplete })...)
			delete(c.brokenExchanges, e)
		}
	}
	return whole
}

// recordWhole records that some answers were whole.
func (g *Gateway) recordWhole(exchanges []brokenExchange) {
	for _, b := range exchanges {
		for _, part := range b.suspects {
			g.crashes.parts.RecordSound(g.now(), part, b.at)
		}
	}
}
