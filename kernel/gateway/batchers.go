package gateway

import (
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
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
	// it claims a pool: by then the other instances have pinged it.
	batchingClaimDelay = 600 * time.Millisecond
	// loneClaimDelay is the same for an instance that knows no other one.
	loneClaimDelay = 3 * time.Second
	// redirectTTL is how long the batcher that another instance named is used
	// instead of the own view: by then pings have brought that up to date.
	redirectTTL = 1500 * time.Millisecond
	// inheritedReservationsTTL is how long the capacity that an earlier batcher
	// reserved counts as taken: about the time in which its results are used.
	inheritedReservationsTTL = 1500 * time.Millisecond
)

// receivedStatus is what a member last reported on a pool that it batches
// for, with the time of the report.
type receivedStatus struct {
	message.BatcherStatus
	at time.Time
}

// recordBatcherStatus stores a member's report on the pools that it batches
// for.
func (g *Gateway) recordBatcherStatus(now time.Time, from ident.Instance, reported map[ident.Pool]message.BatcherStatus) {
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
	statuses := make(map[ident.Pool]receivedStatus, len(reported))
	for pool, b := range reported {
		statuses[pool] = receivedStatus{BatcherStatus: b, at: now}
	}
	g.batcherStatuses[from] = statuses
}

// batcherOf returns the instance that batches for a pool, from this instance's
// view of the fleet. It is empty if the pool is that of a data centre that is evacuated or
// none of whose instances is alive.
func (g *Gateway) batcherOf(pool ident.Pool) ident.Instance {
	batcher, cached := g.batcherCache[pool]
	if !cached {
		batcher = g.findBatcher(pool)
		g.batcherCache[pool] = batcher
	}
	return batcher
}

// redirect is the batcher of a pool that another instance named, with the time
// of that message.
type redirect struct {
	batcher ident.Instance
	at      time.Time
}

// handleStageWork queues pieces for the calls of a pool. If another instance
// batches for the pool and the sender accepts it, the pieces are returned with its
// name instead, so that no two instances send calls to the same endpoints.
func (g *Gateway) handleStageWork(from ident.Instance, w message.StageWork) {
	batcher := g.batcherOf(w.Pool())
	if batcher == "" || batcher == g.config.Self.Name || !w.AcceptsRedirect || g.batcher.Holds(w) {
		g.batcher.Submit(from, w)
		return
	}
	g.counters.PiecesRedirected += len(w.Pieces)
	r := message.StageResults{Service: w.Service, PoolDataCentre: w.PoolDataCentre, Batcher: batcher}
	for _, piece := range w.Pieces {
		r.Results = append(r.Results, message.PieceResult{ID: message.PieceID{Request: w.Request, Stage: w.Stage, Piece: piece}, Outcome: message.PieceMoved})
	}
	g.sendToMember(from, message.Envelope{StageResults: &r})
}

// recordRedirect stores the batcher that a message with moved pieces names.
func (g *Gateway) recordRedirect(m message.StageResults) {
	if m.Batcher == "" {
		return
	}
	pool := ident.Pool{Service: m.Service, DataCentre: m.PoolDataCentre}
	g.members.RecordMention(g.now(), m.Batcher)
	g.redirects[pool] = redirect{batcher: m.Batcher, at: g.now()}
	delete(g.batcherCache, pool)
}

// redirectedTo returns the batcher that another instance recently named for a
// pool; empty if none did or if it has been unreachable since.
func (g *Gateway) redirectedTo(now time.Time, pool ident.Pool) ident.Instance {
	to, named := g.redirects[pool]
	if !named || now.Sub(to.at) > redirectTTL || g.members.UnreachableSince(to.batcher, to.at) {
		return ""
	}
	return to.batcher
}

// findBatcher computes which core member batches for a pool: among the
// claiming members of the highest capacity class the one with the longest
// tenure, so that an instance that joins does not take the work over. If no
// member claims the pool, it is the one with the highest rendezvous score. The
// pool of a data centre has its batcher there, so that a network partition
// between data centres separates no batcher from its endpoints. An instance without
// a path to the service batches only if none has one.
func (g *Gateway) findBatcher(pool ident.Pool) ident.Instance {
	now := g.now()
	self := g.config.Self.Name
	key := "batcher/" + pool.String()
	lacksPath := func(name ident.Instance) bool { return g.lacksPath(name, pool.Service) }
	hashOwner := g.members.OwnerExcept(now, key, pool.DataCentre, lacksPath)
	if hashOwner == "" || g.evacuations.InForce(pool.DataCentre) {
		return ""
	}
	if to := g.redirectedTo(now, pool); to != "" && hashOwner != self && !lacksPath(to) {
		return to
	}
	minClass := g.members.CapacityClass(hashOwner)
	best, bestTenure, found := ident.Instance(""), time.Duration(0), false
	consider := func(name ident.Instance, tenure time.Duration) {
		if pool.DataCentre != "" && g.members.DataCentre(name) != pool.DataCentre {
			return
		}
		if g.members.CapacityClass(name) < minClass || !g.members.InCore(now, name) || lacksPath(name) && !lacksPath(hashOwner) {
			return
		}
		longer := tenure > bestTenure+tenureTolerance
		equal := (tenure - bestTenure).Abs() <= tenureTolerance
		if !found || longer || equal && ident.HashPair(key, string(name)) > ident.HashPair(key, string(best)) {
			best, bestTenure, found = name, tenure, true
		}
	}
	if since, claimed := g.batchingSince[pool]; claimed && !g.shuttingDown {
		consider(self, now.Sub(since))
	}
	ttl := g.statusTTL()
	for _, name := range value.SortedKeys(g.batcherStatuses) {
		status, claimed := g.batcherStatuses[name][pool]
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

// updateBatchingClaims claims the pools that this instance is to batch for,
// and hands over claimed ones that another instance now batches for.
func (g *Gateway) updateBatchingClaims(now time.Time) {
	pools := g.pools().List()
	for _, pool := range pools {
		batcher := g.batcherOf(pool)
		_, claimed := g.batchingSince[pool]
		switch {
		case batcher == g.config.Self.Name && !claimed && !g.shuttingDown && g.mayClaim(now):
			g.batchingSince[pool] = now
			clear(g.batcherCache)
			g.out.LogEvent("batchingBegun", "service", pool.Service, "poolCentre", pool.DataCentre, "members", g.AliveCount())
			g.batcher.Survey(pool)
		case batcher != g.config.Self.Name && claimed:
			delete(g.batchingSince, pool)
			clear(g.batcherCache)
			g.out.LogEvent("batchingHandedOver", "service", pool.Service, "poolCentre", pool.DataCentre, "to", batcher, "waiting", g.batcher.WaitingCount(pool))
			g.handOver(pool, batcher)
		}
	}
	g.dropDissolvedPools(pools)
}

// mayClaim reports whether this instance has run long enough to claim a pool. One
// that has met no other instance yet waits longer: when all start at once, the
// first pings take a while.
func (g *Gateway) mayClaim(now time.Time) bool {
	delay := batchingClaimDelay
	if g.members.KnownCount() == 1 || g.AliveCount() == 1 {
		delay = loneClaimDelay
	}
	return now.Sub(g.startedAt) >= delay
}

// dropDissolvedPools returns the queued pieces of pools that no longer exist
// because the number of endpoints has changed. Their origins send them to the
// present pools.
func (g *Gateway) dropDissolvedPools(pools []ident.Pool) {
	for pool := range g.batchingSince {
		if !slices.Contains(pools, pool) {
			delete(g.batchingSince, pool)
			clear(g.batcherCache)
			g.out.LogEvent("poolDissolved", "service", pool.Service, "poolCentre", pool.DataCentre, "waiting", g.batcher.WaitingCount(pool))
			g.batcher.HandOver(pool)
		}
	}
}

// handOver tells the new batcher of a pool which result capacity is
// reserved, and returns the queued pieces to the instances that submitted them,
// which send them to the new batcher.
func (g *Gateway) handOver(pool ident.Pool, to ident.Instance) {
	if g.paths.Lost(pool.Service) {
		g.batcher.AbandonCalls(pool)
	}
	g.sendToMember(to, message.Envelope{StageReservations: &message.StageReservations{Service: pool.Service, PoolDataCentre: pool.DataCentre, ReservedBytes: g.batcher.ReservedBytes(pool)}})
	g.batcher.HandOver(pool)
}

// ownBatcherStatus returns this instance's report on the pools that it
// batches for. It is empty during a shutdown, so that other instances take
// over.
func (g *Gateway) ownBatcherStatus(now time.Time) map[ident.Pool]message.BatcherStatus {
	if g.shuttingDown {
		return nil
	}
	statuses := map[ident.Pool]message.BatcherStatus{}
	for pool, since := range g.batchingSince {
		status := message.BatcherStatus{QueueWait: g.batcher.EstimateQueueWait(pool), Tenure: now.Sub(since)}
		if g.pipelineAdmission() {
			status.CallTimeRatio = g.batcher.CallTimeRatio(pool)
		}
		statuses[pool] = status
	}
	return statuses
}

// queueWait returns the estimated queue wait at a pool, or zero if its batcher
// has not reported one.
func (g *Gateway) queueWait(pool ident.Pool) time.Duration {
	batcher := g.batcherOf(pool)
	if batcher == g.config.Self.Name {
		return g.batcher.EstimateQueueWait(pool)
	}
	return g.batcherStatuses[batcher][pool].QueueWait
}
