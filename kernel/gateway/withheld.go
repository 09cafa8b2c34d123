package gateway

import (
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
)

// maxRetrySpread is the longest time that is added at random to the Retry-After of requests
// that no endpoint takes for a while, so that they do not all come back at once.
const maxRetrySpread = 2 * time.Second

// sendableIn returns how long an endpoint gets no requests because it or the issuer of its
// rate limit does not want any; ever is false if it gets none again.
func (g *Gateway) sendableIn(now time.Time, e *endpoints.Endpoint) (wait time.Duration, ever bool) {
	switch {
	case e.IsLeaving() || g.directory.Evacuated(e):
		return 0, false
	case g.isLimited(e):
		return max(e.RestLeft(now), g.permits.BlockedFor(now, e.Process())), true
	}
	return e.RestLeft(now), true
}

// noEndpointRetryAfter returns when a request may come back for which there is no
// endpoint. If all want no requests for a while, that is once the first of them takes some,
// spread over a while; requests that were late before come back first.
func (g *Gateway) noEndpointRetryAfter(r *request) time.Duration {
	now := g.now()
	earliest, found := time.Duration(0), false
	others := g.barredEndpoints(r)
	for _, e := range g.directory.ByService(r.service) {
		wait, ever := g.sendableIn(now, e)
		switch {
		case !ever || e.Ejected(now) || others.Has(e.Name):
		case wait == 0 && !g.isLimited(e):
			return busyRetryAfter
		case !found || wait < earliest:
			earliest, found = wait, true
		}
	}
	if !found {
		return busyRetryAfter
	}
	spread := maxRetrySpread
	if r.takesUp() || r.dueAt.Before(r.arrivedAt) {
		spread = maxRetrySpread / 4
	}
	return max(busyRetryAfter, earliest) + time.Duration(g.random.Int64N(int64(spread)))
}

// restsRefuse reports whether to refuse a request whose stages have not run yet, because no
// endpoint of its service wants a request when they are done at the earliest.
func (g *Gateway) restsRefuse(r *request) bool {
	wait, ever, withheld := g.directory.PoolWithheldFor(g.now(), ident.Pool{Service: r.service})
	return withheld && len(r.stages.Services()) > 0 && (!ever || wait > g.minStageTime(r))
}
