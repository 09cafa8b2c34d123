package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
)

// HandleNotice handles what the process of an endpoint says of itself in an answer. The
// request was sent to it the given time ago.
func (g *Gateway) HandleNotice(p ident.EndpointProcess, n endpoints.Notice, sentAgo time.Duration) {
	if n.RateLimit != nil {
		g.HandleNamedLimit(p.Endpoint, *n.RateLimit, sentAgo)
	}
	if n.Leaving || n.Rest > 0 {
		g.out.LogEvent("endpointNotice", "endpoint", p.Endpoint, "started", p.StartedUnixMillis, "leaving", n.Leaving, "rest", n.Rest, "sentAgo", sentAgo)
	}
}

// HandleNoticeAt handles what the endpoint at an address says of itself in an answer.
func (g *Gateway) HandleNoticeAt(address string, n endpoints.Notice, sentAgo time.Duration) {
	if e := g.directory.ByAddress(address); e != nil {
		g.HandleNotice(e.Process(), n, sentAgo)
	}
}
