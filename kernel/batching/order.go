package batching

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// maxInputWait is how long the inputs of a late piece may wait for it: less
	// than the result retention of endpoints.
	maxInputWait = 2500 * time.Millisecond
	// lateWeightFactor is the weight of a late request relative to one that can
	// be on time.
	lateWeightFactor = 0.15
	// missedTargetRank is the first rank of the pieces that miss their target or
	// have none: more than the time until any usual target.
	missedTargetRank = time.Hour
	// maxMissedCompletionTime is the maximum time from the submission of a piece
	// without prior work that misses its target to its expected completion, which
	// includes at least one full call. Beyond it, a refusal costs its caller less
	// than the wait.
	maxMissedCompletionTime = 1200 * time.Millisecond
	// minBurstRetryAfter is the minimum RetryAfter of refused pieces: bursts last
	// about five seconds, and a caller that retries during one is refused again.
	// The gateway shortens the delay for requests whose deadline is near.
	minBurstRetryAfter = 3 * time.Second
	// retrySpread is the time over which the retries of refused callers are
	// spread, so that callers refused together do not retry together.
	retrySpread = 2 * time.Second
	// goldenRatio is the step between retries in units of retrySpread. Its
	// multiples modulo 1 are evenly distributed for any number of callers.
	goldenRatio = 0.618034
	// noEndpointWait is the queue wait of a data centre's pool none of whose endpoints
	// can get work: longer than usual waits, so that requests go elsewhere.
	noEndpointWait = 10 * time.Second
	// heldRank is the rank of pieces that must not start now, behind all others.
	heldRank = 2 * time.Hour
)

// mustHold reports whether a downstream stage of the piece is congested: the
// result would only take up capacity and expire. Lost results are computed again at once,
// since the request's other results expire meanwhile.
func (b *Batcher) mustHold(p *piece, queueWaits map[ident.Pool]time.Duration) bool {
	if p.work.Recovering {
		return false
	}
	maxWait := maxDownstreamWait + time.Duration(p.work.Weight*float64(extraDownstreamWait))
	if p.late && !p.hasPriorWork() {
		maxWait = maxLateDownstreamWait
	}
	for _, s := range p.work.DownstreamServices {
		downstream := ident.Pool{Service: s, DataCentre: p.work.PoolDataCentre}
		wait, known := queueWaits[downstream]
		if !known {
			wait = b.config.QueueWait(downstream)
			queueWaits[downstream] = wait
		}
		if wait > maxWait {
			return true
		}
	}
	return false
}

// EstimateQueueWait estimates how long a new piece waits in the queue of a
// pool that this instance batches for.
func (b *Batcher) EstimateQueueWait(pool ident.Pool) time.Duration {
	q, profile := b.queue(pool), b.config.BatchProfile(pool.Service)
	if profile == nil {
		return 0
	}
	if pool.DataCentre != "" && len(b.candidates(pool)) == 0 {
		return noEndpointWait
	}
	if len(q.waiting) == 0 {
		return 0
	}
	eligible := 0
	for _, p := range q.waiting {
		if p.rank < heldRank {
			eligible++
		}
	}
	t := b.estimateCompletion(pool, profile)
	queueWait := t.timeToFinish(eligible+1) - profile.CallOverhead
	if rate := b.startRate(q); rate > 0 && !b.startsAllArriving(q) {
		queueWait = max(queueWait, time.Duration(float64(eligible)/rate*float64(time.Second)))
	}
	return max(queueWait, 0)
}

// recordStarted counts started pieces for startRate.
func (b *Batcher) recordStarted(q *queue, pieces int) {
	q.advanceBuckets(b.now())
	q.startedPerBucket[q.bucket%rateBuckets] += pieces
}

// advanceBuckets moves the ring on to the current bucket and clears the buckets
// that it enters.
func (q *queue) advanceBuckets(now time.Time) {
	current := now.UnixNano() / int64(rateBucketWidth)
	for q.bucket = max(q.bucket, current-rateBuckets); q.bucket < current; {
		q.bucket++
		q.startedPerBucket[q.bucket%rateBuckets] = 0
	}
}

// startRate returns the recent rate of started pieces per second.
func (b *Batcher) startRate(q *queue) float64 {
	q.advanceBuckets(b.now())
	total := 0
	for _, n := range q.startedPerBucket {
		total += n
	}
	return float64(total) / (time.Duration(rateBuckets) * rateBucketWidth).Seconds()
}

// orderWaiting sorts the queue so that the total weight of pieces done in time
// is high: by target time, but whenever a piece would miss its target, the piece
// of the lowest weight so far is moved to the end (the Moore-Hodgson algorithm).
// It first drops expired pieces, and at the end refuses requests whose
// pieces would not be done soon enough.
func (b *Batcher) orderWaiting(pool ident.Pool, q *queue, profile *published.BatchProfile) {
	now := b.now()
	b.dropExpired(q, now)
	b.refuseWithheld(pool, q, profile)
	if b.pipelineAdmission() {
		b.orderPipelines(pool, q, profile)
		return
	}
	estimate := b.estimateCompletion(pool, profile)
	queueWaits := map[ident.Pool]time.Duration{}
	// withTarget holds the pieces that have a target and are not held back: those
	// that are not late, and late ones with prior work. missesTarget holds the
	// late pieces without prior work, which have no target, and further below the
	// pieces with a target that are displaced.
	var withTarget, missesTarget []*piece
	for _, p := range q.waiting {
		target, ok := p.updateTarget(now, profile)
		if b.mustHold(p, queueWaits) {
			p.rank = heldRank
			continue
		}
		if ok {
			p.rank = target.Sub(now)
			withTarget = append(withTarget, p)
			continue
		}
		missesTarget = append(missesTarget, p)
	}
	slices.SortStableFunc(withTarget, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
	// meetsTarget holds the pieces of withTarget that are not displaced.
	var meetsTarget byWeight
	for _, p := range withTarget {
		heap.Push(&meetsTarget, p)
		if estimate.timeToFinish(len(meetsTarget)) > p.rank {
			displaced := heap.Pop(&meetsTarget).(*piece)
			missesTarget = append(missesTarget, displaced)
		}
	}
	slices.SortStableFunc(missesTarget, func(x, y *piece) int {
		if x.hasPriorWork() != y.hasPriorWork() {
			if x.hasPriorWork() {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(y.work.Weight, x.work.Weight); c != 0 {
			return c
		}
		return x.work.deadline.Compare(y.work.deadline)
	})
	for i, p := range missesTarget {
		p.rank = missedTargetRank + time.Duration(i)*time.Millisecond
	}
	b.refuseMissed(pool, q, missesTarget, len(meetsTarget), estimate)
	slices.SortStableFunc(q.waiting, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
}

// refuseMissed refuses the requests of two kinds of pieces without prior work, so
// that their callers know at once and can retry when there is capacity: those in
// missesTarget that would not be done within maxMissedCompletionTime or early
// enough for the calls of downstream stages before the deadline, and late ones
// that are held back.
func (b *Batcher) refuseMissed(pool ident.Pool, q *queue, missesTarget []*piece, meetsTargetCount int, t completionEstimate) {
	now := b.now()
	refused := value.NewSet[ident.RequestID]()
	retryAfter := minBurstRetryAfter
	for i, p := range missesTarget {
		wait := t.timeToFinish(meetsTargetCount + i + 1)
		// One full call for each downstream service, repeated ones included.
		downstreamTime := time.Duration(len(p.work.DownstreamServices)) * t.fullCallTime
		waited := now.Sub(p.submittedAt)
		if p.hasPriorWork() || waited+wait <= maxMissedCompletionTime && wait+downstreamTime < p.work.deadline.Sub(now) {
			continue
		}
		refused.Add(p.work.Request)
		retryAfter = max(retryAfter, wait)
	}
	for _, p := range q.waiting {
		if p.late && p.rank >= heldRank && !p.hasPriorWork() {
			refused.Add(p.work.Request)
		}
	}
	if len(refused) == 0 {
		return
	}
	b.refuse(q, retryAfter, func(p *piece) bool { return refused.Has(p.work.Request) && !p.hasPriorWork() })
	b.config.Output.LogEvent("piecesRefused", "service", pool.Service, "poolCentre", pool.DataCentre, "requests", len(refused), "timely", meetsTargetCount, "late", len(missesTarget), "retryAfter", retryAfter)
}

// refuseWithheld refuses the pieces that cannot be done before their deadline because all
// endpoints of a pool want no calls until then.
func (b *Batcher) refuseWithheld(pool ident.Pool, q *queue, profile *published.BatchProfile) {
	now := b.now()
	wait, ever, withheld := b.config.Directory.PoolWithheldFor(now, pool)
	if !withheld {
		return
	}
	earliest := now.Add(wait + profile.CallOverhead + profile.TimePerPiece)
	refused := b.refuse(q, max(wait, minBurstRetryAfter), func(p *piece) bool { return !ever || p.work.deadline.Before(earliest) })
	if refused > 0 {
		b.config.Output.LogEvent("piecesRefused", "service", pool.Service, "poolCentre", pool.DataCentre, "pieces", refused, "withheldFor", wait, "ever", ever)
	}
}

// refuse removes the selected pieces from a queue, reports them as refused and returns
// their number.
func (b *Batcher) refuse(q *queue, retryAfter time.Duration, selected func(*piece) bool) int {
	results := map[ident.Instance]*message.StageResults{}
	refused := 0
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		if !selected(p) {
			return false
		}
		refused++
		b.stats.Refused++
		b.drop(p)
		addResult(results, p, message.PieceRefused)
		reported := results[p.work.origin].Results
		reported[len(reported)-1].RetryAfter = retryAfter + q.retryOffset(p.id.Request)
		return true
	})
	for _, to := range value.SortedKeys(results) {
		b.config.Output.SendResults(to, *results[to])
	}
	return refused
}

// retryOffset returns the extra delay for the retry of a refused request. It is
// the same for all pieces of the request.
func (q *queue) retryOffset(r ident.RequestID) time.Duration {
	if r != q.lastRefusedID {
		q.lastRefusedID = r
		q.refusedCount++
	}
	_, fraction := math.Modf(goldenRatio * float64(q.refusedCount))
	return time.Duration(fraction * float64(retrySpread))
}

// dropExpired removes the pieces whose deadline has passed and reports them.
func (b *Batcher) dropExpired(q *queue, now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		if p.work.deadline.After(now) {
			return false
		}
		b.stats.Expired++
		b.drop(p)
		b.reportOutcome(p, message.PieceExpired)
		return true
	})
}

// updateTarget updates p.late and returns when the piece has to be done: when its
// request needs it or, if it is late, before the results that it builds on expire and
// before its deadline. It returns false for a late piece without prior work, which has no target.
func (p *piece) updateTarget(now time.Time, profile *published.BatchProfile) (time.Time, bool) {
	p.late = !p.work.dueAt.After(now.Add(profile.CallOverhead))
	if !p.late {
		return p.work.dueAt, true
	}
	if p.hasPriorWork() {
		target := p.work.receivedAt.Add(maxInputWait)
		if p.work.deadline.Before(target) {
			target = p.work.deadline
		}
		return target, true
	}
	return time.Time{}, false
}

// hasPriorWork reports whether the piece builds on results of earlier stages, or
// recomputes lost results for a request that had already got further.
func (p *piece) hasPriorWork() bool { return len(p.work.Inputs) > 0 || p.work.Recovering }

// effectiveWeight returns the piece's weight in the choice of pieces that are to
// be done by their target times.
func (p *piece) effectiveWeight() float64 {
	if p.late {
		return p.work.Weight * lateWeightFactor
	}
	return p.work.Weight
}

// completionEstimate predicts when the pieces of a queue will be done.
type completionEstimate struct {
	// freeIn is the time until each endpoint is idle, in ascending order.
	freeIn        []time.Duration
	piecesPerCall int
	// fullCallTime is the expected duration of a full call.
	fullCallTime time.Duration
}

func (b *Batcher) estimateCompletion(pool ident.Pool, profile *published.BatchProfile) completionEstimate {
	now := b.now()
	t := completionEstimate{piecesPerCall: max(profile.MaxPiecesPerCall, 1), fullCallTime: profile.CallOverhead + time.Duration(profile.MaxPiecesPerCall)*profile.TimePerPiece}
	busyFor := map[ident.Endpoint]time.Duration{}
	ratio := 1.0
	if b.pipelineAdmission() {
		ratio = b.ownCallTimeRatio(pool)
		t.fullCallTime = time.Duration(ratio * float64(t.fullCallTime))
	}
	for _, c := range b.calls {
		busyFor[c.endpoint] = max(busyFor[c.endpoint], c.startedAt.Add(time.Duration(ratio*float64(c.expectedTime))).Sub(now), 0)
	}
	for _, e := range b.candidates(pool) {
		if b.endpointState(e.Name).latencyRatio <= slowLatencyRatio {
			t.freeIn = append(t.freeIn, busyFor[e.Name])
		}
	}
	if wait, ever, withheld := b.config.Directory.PoolWithheldFor(now, pool); withheld && ever {
		t.freeIn = []time.Duration{wait}
	}
	slices.Sort(t.freeIn)
	return t
}

// timeToFinish returns the time until the given number of pieces at the head of
// a queue are done.
func (t completionEstimate) timeToFinish(pieces int) time.Duration {
	if len(t.freeIn) == 0 {
		return t.fullCallTime
	}
	callIndex := (pieces - 1) / t.piecesPerCall
	round := callIndex / len(t.freeIn)
	return t.freeIn[callIndex%len(t.freeIn)] + time.Duration(round+1)*t.fullCallTime
}

// byWeight is a min-heap of pieces by effective weight. Among equal weights, the
// piece that is due last comes first.
type byWeight []*piece

func (w byWeight) Len() int { return len(w) }

func (w byWeight) Less(i, j int) bool {
	if x, y := w[i].effectiveWeight(), w[j].effectiveWeight(); x != y {
		return x < y
	}
	return w[i].rank > w[j].rank
}

func (w byWeight) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *byWeight) Push(x any) { *w = append(*w, x.(*piece)) }

func (w *byWeight) Pop() any {
	last := len(*w) - 1
	p := (*w)[last]
	*w = (*w)[:last]
	return p
}
