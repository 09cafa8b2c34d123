package gateway

import (
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// statusTTLPings is the number of ping periods for which a member's batcher
	// status is valid.
	statusTTLPings = 3
	// tenureTolerance is the difference up to which two tenures count as equal.
	// Each instance derives them from pings that take some milliseconds.
	tenureTolerance = 150 * time.Millisecond
	// batchingClaimDelay is how long after its start an instance waits before
	// it claims a service: by then the other instances have pinged it.
	batchingClaimDelay = 600 * time.Millisecond
	// inheritedReservationsTTL is how long the capacity that an earlier batcher
	// reserved counts as taken: about the time in which its results are used.
	inheritedReservationsTTL = 1500 * time.Millisecond
)

// receivedStatus is what a member last reported on a service that it batches
// for, with the time of the report.
type receivedStatus struct {
	message.BatcherStatus
	at time.Time
}

// recordBatcherStatus stores a member's report on the services that it batches
// for.
func (g *Gateway) recordBatcherStatus(now time.Time, from ident.Instance, reported map[ident.Service]message.BatcherStatus) {
	if len(reported) == 0 {
		if _, known := g.batcherStatuses[from]; known {
			delete(g.batcherStatuses, from)
			clear(g.batcherCache)
		}
		return
	}
	if len(g.batcherStatuses[from]) != len(reported) {
		clear(g.batcherCache)
	}
	statuses := make(map[ident.Service]receivedStatus, len(reported))
	for s, b := range reported {
		statuses[s] = receivedStatus{BatcherStatus: b, at: now}
	}
	g.batcherStatuses[from] = statuses
}

// batcherOf returns the instance that batches for a service, from this
// instance's view of the fleet.
func (g *Gateway) batcherOf(s ident.Service) ident.Instance {
	batcher, cached := g.batcherCache[s]
	if !cached {
		batcher = g.findBatcher(s)
		g.batcherCache[s] = batcher
	}
	return batcher
}

// findBatcher computes which core member batches for a service: among the
// claiming members of the highest capacity class the one with the longest
// tenure, so that an instance that joins does not take the work over. If no
// member claims the service, it is the one with the highest rendezvous score.
func (g *Gateway) findBatcher(s ident.Service) ident.Instance {
	now := g.now()
	self := g.config.Self.Name
	key := "batcher/" + string(s)
	hashOwner := g.members.Owner(now, key)
	minClass := g.members.CapacityClass(hashOwner)
	best, bestTenure, found := ident.Instance(""), time.Duration(0), false
	consider := func(name ident.Instance, tenure time.Duration) {
		if g.members.CapacityClass(name) < minClass || !g.members.InCore(now, name) {
			return
		}
		longer := tenure > bestTenure+tenureTolerance
		equal := (tenure - bestTenure).Abs() <= tenureTolerance
		if !found || longer || equal && ident.HashPair(key, string(name)) > ident.HashPair(key, string(best)) {
			best, bestTenure, found = name, tenure, true
		}
	}
	if since, claimed := g.batchingSince[s]; claimed && !g.shuttingDown {
		consider(self, now.Sub(since))
	}
	ttl := g.statusTTL()
	for _, name := range value.SortedKeys(g.batcherStatuses) {
		status, claimed := g.batcherStatuses[name][s]
		if claimed && now.Sub(status.at) <= ttl && g.members.Alive(now, name) {
			consider(name, status.Tenure+now.Sub(status.at))
		}
	}
	if found {
		return best
	}
	return hashOwner
}

// statusTTL returns how long a member's batcher status is valid.
func (g *Gateway) statusTTL() time.Duration { return statusTTLPings * g.members.PingPeriod() }

// updateBatchingClaims claims the services that this instance is to batch for,
// and hands over claimed ones that another instance now batches for.
func (g *Gateway) updateBatchingClaims(now time.Time) {
	for _, s := range value.SortedKeys(g.serviceNames()) {
		if g.batchProfile(s) == nil {
			continue
		}
		batcher := g.batcherOf(s)
		_, claimed := g.batchingSince[s]
		switch {
		case batcher == g.config.Self.Name && !claimed && !g.shuttingDown && now.Sub(g.startedAt) >= batchingClaimDelay:
			g.batchingSince[s] = now
			clear(g.batcherCache)
			g.out.LogEvent("batchingBegun", "service", s, "members", g.AliveCount())
		case batcher != g.config.Self.Name && claimed:
			delete(g.batchingSince, s)
			clear(g.batcherCache)
			g.out.LogEvent("batchingHandedOver", "service", s, "to", batcher, "waiting", g.batcher.WaitingCount(s))
			g.handOver(s, batcher)
		}
	}
}

// handOver tells the new batcher of a service which result capacity is
// reserved, and returns the queued pieces to the instances that submitted them,
// which send them to the new batcher.
func (g *Gateway) handOver(s ident.Service, to ident.Instance) {
	g.sendToMember(to, message.Envelope{StageReservations: &message.StageReservations{Service: s, ReservedBytes: g.batcher.ReservedBytes(s)}})
	g.batcher.HandOver(s)
}

// ownBatcherStatus returns this instance's report on the services that it
// batches for. It is empty during a shutdown, so that other instances take
// over.
func (g *Gateway) ownBatcherStatus(now time.Time) map[ident.Service]message.BatcherStatus {
	if g.shuttingDown {
		return nil
	}
	statuses := map[ident.Service]message.BatcherStatus{}
	for s, since := range g.batchingSince {
		statuses[s] = message.BatcherStatus{QueueWait: g.batcher.EstimateQueueWait(s), Tenure: now.Sub(since)}
	}
	return statuses
}

// queueWait returns the estimated queue wait at a service, or zero if its
// batcher has not reported one.
func (g *Gateway) queueWait(s ident.Service) time.Duration {
	batcher := g.batcherOf(s)
	if batcher == g.config.Self.Name {
		return g.batcher.EstimateQueueWait(s)
	}
	return g.batcherStatuses[batcher][s].QueueWait
}

// batchProfile returns the batching parameters of a service's endpoints, or nil
// if the service is unknown or has no stage endpoints.
func (g *Gateway) batchProfile(s ident.Service) *published.BatchProfile {
	if g.catalog == nil || g.catalog.Services[s] == nil {
		return nil
	}
	return g.catalog.Services[s].BatchProfile
}
