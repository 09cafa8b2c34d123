package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/value"
)

// maxNoticesPerPing bounds the endpoints in one ping of which the sender tells what they
// have said of themselves.
const maxNoticesPerPing = 32

// restReportPings is the number of ping periods within which an instance hears that an
// endpoint wants no requests from another one.
const restReportPings = 2

// ownAnswer is the source of what an endpoint has said to this instance itself.
const ownAnswer = "answer"

// HandleNotice handles what the process of an endpoint says of itself in an answer. The
// request was sent to it the given time ago.
func (g *Gateway) HandleNotice(p ident.EndpointProcess, n endpoints.Notice, sentAgo time.Duration) {
	if n.RateLimit != nil || n.ColdFor != nil {
		g.warmup.HandleHealth(g.now(), p, n.ColdFor, sentAgo)
	}
	if n.RateLimit != nil {
		g.recordLimit(p, *n.RateLimit, sentAgo)
	}
	if n.Leaving {
		g.recordLeaving(p, ownAnswer)
	}
	if n.Rest > 0 && g.directory.RecordRest(g.now(), p, n.Rest) {
		g.out.LogEvent("endpointRests", "endpoint", p.Endpoint, "started", p.StartedUnixMillis, "rest", n.Rest, "sentAgo", sentAgo)
	}
}

// HandleNoticeAt handles what the endpoint at an address says of itself in an answer.
func (g *Gateway) HandleNoticeAt(address string, n endpoints.Notice, sentAgo time.Duration) {
	if e := g.directory.ByAddress(address); e != nil {
		g.HandleNotice(e.Process(), n, sentAgo)
	}
}

// recordLeaving records that a process of an endpoint has said that it leaves. source is
// the instance that tells it, or ownAnswer.
func (g *Gateway) recordLeaving(p ident.EndpointProcess, source string) {
	if g.directory.RecordLeaving(g.now(), p) {
		g.out.LogEvent("endpointLeaves", "endpoint", p.Endpoint, "started", p.StartedUnixMillis, "source", source)
		g.cachedPong = nil
	}
}

// WithheldCounts returns how many endpoints leave, by their listing or their own word, and
// how many others want no requests from this instance now.
func (g *Gateway) WithheldCounts() (leaving, resting int) { return g.directory.WithheldCounts(g.now()) }

// addNotices adds to a ping what endpoints have said of themselves.
func (g *Gateway) addNotices(now time.Time, p *message.Ping) {
	for _, process := range g.directory.SaidToLeave(maxNoticesPerPing) {
		if p.SaidToLeave == nil {
			p.SaidToLeave = map[ident.Endpoint]int64{}
		}
		p.SaidToLeave[process.Endpoint] = process.StartedUnixMillis
	}
	p.Resting = g.directory.RestReports(now, maxNoticesPerPing)
}

// mergeNotices merges what endpoints have said of themselves to a member and, if they leave,
// to those that told it.
func (g *Gateway) mergeNotices(now time.Time, p message.Ping) {
	for _, name := range value.SortedKeys(p.SaidToLeave) {
		g.recordLeaving(ident.EndpointProcess{Endpoint: name, StartedUnixMillis: p.SaidToLeave[name]}, string(p.Member.Name))
	}
	for name, r := range p.Resting {
		g.directory.MergeRest(now, name, r, restReportPings*g.members.PingPeriod())
	}
}
