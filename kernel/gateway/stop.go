package gateway

import (
	"time"

	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// shutdownRetryAfter is the Retry-After during a shutdown: another instance
	// can serve the request at once.
	shutdownRetryAfter = 50 * time.Millisecond
	// streamAcceptTime is how long after the start of a shutdown streams are
	// still admitted. The load balancer may send new requests for two seconds,
	// and a stream admitted later may not end before the shutdown has to.
	streamAcceptTime = 2200 * time.Millisecond
	// minTimeToStop is the least time before the end of a shutdown at which a request that
	// may take longer is sent, and objectivesToStop that in latency objectives of its route.
	minTimeToStop    = 1300 * time.Millisecond
	objectivesToStop = 5
)

const stoppingReason = "the instance is stopping"

// BeginShutdown starts a graceful shutdown: the instance is no longer ready,
// and other instances take over the batching for its services.
func (g *Gateway) BeginShutdown() {
	g.shuttingDown = true
	g.shutdownStartedAt = g.now()
	g.members.Leave()
	g.lender.Revoke(g.config.Self.Name, g.config.Self.Incarnation)
	clear(g.batcherCache)
	g.handOverOrigins()
	g.cachedPong = nil
	g.pingAll()
	g.updateBatchingClaims(g.now())
}

// admitsNoStreams reports whether it is too late in a shutdown for new streams.
func (g *Gateway) admitsNoStreams() bool {
	return g.shuttingDown && g.now().Sub(g.shutdownStartedAt) > streamAcceptTime
}

// stopsTooSoon reports whether a request that is sent now may have no answer when the shutdown
// has to end: another instance has to serve it. Streams that another endpoint has begun may
// go on as long as some of their events would come.
func (g *Gateway) stopsTooSoon(r *request) bool {
	if !g.shuttingDown || g.config.StopLimit == 0 {
		return false
	}
	now := g.now()
	need := minTimeToStop
	if !r.firstEventSent {
		need = max(need, objectivesToStop*r.route.LatencyObjective)
	}
	need = min(need, g.config.StopLimit/2, r.deadline.Sub(now))
	return g.shutdownStartedAt.Add(g.config.StopLimit).Sub(now) < need
}

// refuseLate ends the requests that are not at an endpoint and for which it is too late in a
// shutdown.
func (g *Gateway) refuseLate() {
	for _, h := range value.SortedKeys(g.requests) {
		if r := g.requests[h]; r.route != nil && !r.atEndpoint() && g.stopsTooSoon(r) {
			g.endStopping(r)
		}
	}
}

// atEndpoint reports whether an attempt has been written that has not ended.
func (r *request) atEndpoint() bool { return r.attempt != nil && r.attempt.written }

// endStopping ends a request because of the shutdown.
func (g *Gateway) endStopping(r *request) {
	answer := NotRun
	if r.mayRun() {
		answer = MayHaveRun
	}
	g.end(r, answer, shutdownRetryAfter, stoppingReason)
}

// EndUnfinished answers all requests of which no part has been relayed, at the end of a
// graceful shutdown: a caller that gets an answer knows more than one whose connection ends.
func (g *Gateway) EndUnfinished() {
	for _, h := range value.SortedKeys(g.requests) {
		if r := g.requests[h]; !r.firstEventSent {
			g.endStopping(r)
		}
	}
}

// refuseStopping refuses a request that has just been admitted, if it is too late for it in a
// shutdown, and reports whether it did.
func (g *Gateway) refuseStopping(r *request) bool {
	if g.stopsTooSoon(r) || r.route.Kind == published.Stream && g.admitsNoStreams() {
		g.answer(r, NotRun, shutdownRetryAfter, stoppingReason)
		return true
	}
	return false
}
