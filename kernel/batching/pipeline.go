package batching

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"anvilcross/kernel/admission"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

const (
	// firstStagesWait is how long the pieces of a request that has several first stages wait
	// for the others, which arrive in messages of their own.
	firstStagesWait = 30 * time.Millisecond
	// heldInterval is the time after which held requests are decided on again.
	heldInterval = 20 * time.Millisecond
	// minCallTimeRatio is the ratio of call times below which they count as the expected
	// ones. Network delays make them a few per cent longer.
	minCallTimeRatio = 1.1
	// callTimeWindow is how long after its last call an endpoint's call times count: about
	// four calls.
	callTimeWindow = 2 * time.Second
	// displacedRank is the first rank of the pieces of started requests that miss their
	// target, and candidateRank that of requests that may start. Both are behind usual times
	// until a target and before missedTargetRank.
	displacedRank = 10 * time.Minute
	candidateRank = 20 * time.Minute
	// candidateStep is the difference of rank between two requests. A transfer between data
	// centres delays a request behind a few others, not behind all.
	candidateStep = 20 * time.Millisecond
)

func (b *Batcher) pipelineAdmission() bool {
	return b.config.PipelineAdmission != nil && b.config.PipelineAdmission()
}

// AdmissionCounts returns the requests that were decided on, by the service of their first
// stage.
func (b *Batcher) AdmissionCounts() map[ident.Service]admission.Counts { return b.admission.Counts() }

// CallTimeRatio returns how long the calls of a pool that this instance batches for take at
// present, relative to their expected time: the mean of the endpoints that had calls lately,
// without those that only get probe calls. A call that still runs counts once it takes longer
// than those before, since the reply to a slow one comes too late to stop new requests.
func (b *Batcher) CallTimeRatio(pool ident.Pool) float64 {
	now := b.now()
	running := map[ident.Endpoint]float64{}
	for _, c := range b.calls {
		if c.pool == pool {
			running[c.endpoint] = max(running[c.endpoint], float64(now.Sub(c.startedAt))/float64(c.expectedTime))
		}
	}
	count, speed := 0, 0.0
	for _, e := range b.candidates(pool) {
		es := b.endpointStates[e.Name]
		if es == nil || es.latencyRatio > slowLatencyRatio || now.Sub(es.lastCallAt) > callTimeWindow {
			continue
		}
		count++
		speed += 1 / max(es.lastRatio, running[e.Name], 1)
	}
	if count == 0 {
		return 1
	}
	return float64(count) / speed
}

// callTimeRatio returns the ratio of call times that counts in admission, for a pool that may
// have its batcher on another instance.
func (b *Batcher) callTimeRatio(pool ident.Pool) float64 {
	if b.config.CallTimeRatio == nil {
		return 1
	}
	return boundedRatio(b.config.CallTimeRatio(pool))
}

// ownCallTimeRatio is callTimeRatio for a pool that this instance batches for.
func (b *Batcher) ownCallTimeRatio(pool ident.Pool) float64 {
	return boundedRatio(b.CallTimeRatio(pool))
}

func boundedRatio(ratio float64) float64 {
	if ratio <= minCallTimeRatio {
		return 1
	}
	return min(ratio, slowLatencyRatio)
}

// capacityOf returns the pieces per second that a pool computes in full calls.
func (b *Batcher) capacityOf(pool ident.Pool) float64 {
	profile := b.config.BatchProfile(pool.Service)
	if profile == nil {
		return 0
	}
	count := 0
	for _, e := range b.candidates(pool) {
		if es := b.endpointStates[e.Name]; es == nil || es.latencyRatio <= slowLatencyRatio {
			count++
		}
	}
	return float64(count*max(profile.Slots, 1)*max(profile.MaxPiecesPerCall, 1)) / fullCallTime(profile).Seconds() / b.callTimeRatio(pool)
}

// extraCallTime returns how much longer than expected a call of a pool takes at present. The
// call is taken as half full, as calls are while the pool keeps up.
func (b *Batcher) extraCallTime(pool ident.Pool) time.Duration {
	profile := b.config.BatchProfile(pool.Service)
	if profile == nil {
		return 0
	}
	return time.Duration((b.callTimeRatio(pool) - 1) * float64(profile.CallOverhead+fullCallTime(profile)) / 2)
}

func fullCallTime(profile *published.BatchProfile) time.Duration {
	return profile.CallOverhead + time.Duration(profile.MaxPiecesPerCall)*profile.TimePerPiece
}

// reportedWait returns the time until a piece gets an endpoint of a pool, from the queue wait
// that its batcher reports. That one includes the time of the pieces of a full call as soon as
// anything waits.
func (b *Batcher) reportedWait(pool ident.Pool) time.Duration {
	profile := b.config.BatchProfile(pool.Service)
	if profile == nil {
		return 0
	}
	return max(b.config.QueueWait(pool)-fullCallTime(profile)+profile.CallOverhead, 0)
}

// startsAllArriving reports whether the rate of started pieces is that of arriving ones, because
// the queue has been empty within the window of the rate. It then says nothing about the wait:
// after a quiet time, it would show a wait of a second in front of idle endpoints. Where each
// stage decides for itself, the rate counts all the same.
func (b *Batcher) startsAllArriving(q *queue) bool {
	return b.pipelineAdmission() && b.now().Sub(q.emptiedAt) <= rateBuckets*rateBucketWidth
}

// noteEmptied records that a dispatch has left no piece that may start.
func (b *Batcher) noteEmptied(q *queue) {
	if !slices.ContainsFunc(q.waiting, func(p *piece) bool { return p.rank < heldRank }) {
		q.emptiedAt = b.now()
	}
}

// orderPipelines sorts the queue for the admission of whole requests: pieces of requests that
// have started go first, by the time at which they are needed, then the requests that may
// start, in the order of kernel/admission. It refuses the requests that cannot be on time.
func (b *Batcher) orderPipelines(pool ident.Pool, q *queue, profile *published.BatchProfile) {
	now := b.now()
	estimate := b.estimateCompletion(pool, profile)
	var started []*piece
	waiting := map[ident.RequestID][]*piece{}
	var ids []ident.RequestID
	for _, p := range q.waiting {
		if p.hasPriorWork() || b.hasStarted(p.id.Request) {
			started = append(started, p)
			continue
		}
		if waiting[p.id.Request] == nil {
			ids = append(ids, p.id.Request)
		}
		waiting[p.id.Request] = append(waiting[p.id.Request], p)
	}
	b.rankStarted(started, estimate, profile)
	q.candidates = map[ident.RequestID]*admission.Request{}
	var requests []*admission.Request
	undecided := false
	for _, id := range ids {
		if b.awaitsFirstStages(waiting[id]) {
			undecided = true
			setRank(waiting[id], heldRank)
			continue
		}
		r := b.admissionRequest(waiting[id])
		q.candidates[id] = r
		requests = append(requests, r)
	}
	queue := admission.Queue{Pool: pool, Ahead: len(started), FullCallTime: estimate.fullCallTime, TimeToFinish: estimate.timeToFinish}
	queue.ResultBytes, queue.ReservedBytes = b.resultCapacity(pool, profile)
	for _, p := range started {
		queue.ReservedBytes += p.work.ResultBytes
	}
	decisions := b.admission.Decide(now, queue, requests)
	refused := map[ident.RequestID]admission.Decision{}
	for i, d := range decisions {
		switch d.Action {
		case admission.Start:
			setRank(waiting[d.Request.ID], candidateRank+time.Duration(i)*candidateStep)
		case admission.Hold:
			undecided = true
			setRank(waiting[d.Request.ID], heldRank)
		case admission.Refuse:
			refused[d.Request.ID] = d
		}
	}
	b.refusePipelines(pool, q, refused)
	b.logContention()
	if undecided && q.heldTimer == nil {
		q.heldTimer = b.config.Timers.After(heldInterval, func() {
			q.heldTimer = nil
			b.Dispatch(pool)
		})
	}
	slices.SortStableFunc(q.waiting, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
}

// resultCapacity returns the capacity for results of a pool's endpoints, and the part of it that is
// reserved.
func (b *Batcher) resultCapacity(pool ident.Pool, profile *published.BatchProfile) (total, reserved int) {
	usable := int(usableCapacityShare * float64(profile.ResultCapacityBytes))
	for _, e := range b.candidates(pool) {
		total += usable
		reserved += usable - max(b.endpointState(e.Name).freeBytes(b.now(), profile), 0)
	}
	return total, reserved
}

func setRank(pieces []*piece, rank time.Duration) {
	for _, p := range pieces {
		p.rank = rank
	}
}

// hasStarted reports whether a piece of a request has been put into a call.
func (b *Batcher) hasStarted(id ident.RequestID) bool {
	return slices.ContainsFunc(b.requests[id], func(p *piece) bool { return p.state != pieceWaiting || p.attempts > 0 })
}

// rankStarted ranks the pieces of started requests as orderWaiting does: by target, with the
// pieces of lowest weight displaced to the end where not all can meet theirs.
func (b *Batcher) rankStarted(started []*piece, estimate completionEstimate, profile *published.BatchProfile) {
	now := b.now()
	for _, p := range started {
		target, ok := p.updateTarget(now, profile)
		if !ok {
			target = p.work.deadline
		}
		p.rank = min(target.Sub(now), displacedRank-1)
	}
	slices.SortStableFunc(started, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
	var meetsTarget byWeight
	var displaced []*piece
	for _, p := range started {
		heap.Push(&meetsTarget, p)
		if estimate.timeToFinish(len(meetsTarget)) > p.rank {
			displaced = append(displaced, heap.Pop(&meetsTarget).(*piece))
		}
	}
	slices.SortStableFunc(displaced, func(x, y *piece) int {
		if c := cmp.Compare(y.work.Weight, x.work.Weight); c != 0 {
			return c
		}
		return x.work.deadline.Compare(y.work.deadline)
	})
	for i, p := range displaced {
		p.rank = displacedRank + time.Duration(i)*time.Millisecond
	}
}

// awaitsFirstStages reports whether pieces of other first stages of a request are still to
// arrive.
func (b *Batcher) awaitsFirstStages(pieces []*piece) bool {
	if b.now().Sub(pieces[0].submittedAt) >= firstStagesWait {
		return false
	}
	stages := value.NewSet[int]()
	for _, p := range pieces {
		stages.Add(p.id.Stage)
	}
	return len(stages) < pieces[0].work.FirstStages
}

// admissionRequest describes a request by its waiting pieces.
func (b *Batcher) admissionRequest(pieces []*piece) *admission.Request {
	first := pieces[0]
	r := &admission.Request{
		ID:         first.id.Request,
		Workspace:  first.work.Workspace,
		Weight:     first.work.Weight,
		ReceivedAt: first.submittedAt,
		DueAt:      first.work.dueAt,
		Deadline:   first.work.deadline,
		Pieces:     len(pieces),
	}
	seen := value.NewSet[int]()
	for _, p := range pieces {
		r.ResultBytes += p.work.ResultBytes
		if p.work.dueAt.Before(r.DueAt) {
			r.DueAt = p.work.dueAt
		}
		if p.work.deadline.Before(r.Deadline) {
			r.Deadline = p.work.deadline
		}
		if seen.Has(p.id.Stage) {
			continue
		}
		seen.Add(p.id.Stage)
		r.Downstream = mergeDemands(r.Downstream, p.work.downstreamDemands())
	}
	return r
}

// downstreamDemands returns what the stages need that depend on the work's stage.
func (w *work) downstreamDemands() []admission.Demand {
	var demands []admission.Demand
	for i, s := range w.DownstreamServices {
		// An earlier version does not say how many pieces there are.
		count := 1
		if i < len(w.DownstreamPieces) {
			count = w.DownstreamPieces[i]
		}
		demands = append(demands, admission.Demand{Pool: ident.Pool{Service: s, DataCentre: w.PoolDataCentre}, Pieces: count})
	}
	return demands
}

// mergeDemands adds the demands of a further first stage of a request. First stages mostly lead
// to the same later ones, so a pool counts as often as in the chain that has it most often.
func mergeDemands(demands, more []admission.Demand) []admission.Demand {
	merged := slices.Clone(demands)
	matched := value.NewSet[int]()
	for _, d := range more {
		at := slices.IndexFunc(demands, func(o admission.Demand) bool { return o.Pool == d.Pool })
		for at >= 0 && at < len(demands) && (matched.Has(at) || demands[at].Pool != d.Pool) {
			at++
		}
		if at < 0 || at >= len(demands) {
			merged = append(merged, d)
			continue
		}
		matched.Add(at)
		merged[at].Pieces = max(merged[at].Pieces, d.Pieces)
	}
	return merged
}

// noteStarted reports the requests whose first pieces are put into a call to the account of
// later stages.
func (b *Batcher) noteStarted(pool ident.Pool, pieces []*piece) {
	q := b.queue(pool)
	for _, p := range pieces {
		if r := q.candidates[p.id.Request]; r != nil {
			b.admission.HandleStarted(b.now(), pool, r)
			delete(q.candidates, p.id.Request)
		}
	}
}

// refusePipelines refuses whole requests and logs why.
func (b *Batcher) refusePipelines(pool ident.Pool, q *queue, refused map[ident.RequestID]admission.Decision) {
	if len(refused) == 0 {
		return
	}
	for _, id := range value.SortedKeys(refused) {
		d := refused[id]
		b.config.Output.LogEvent("requestRefused", "request", id, "service", pool.Service, "poolCentre", pool.DataCentre, "short", d.Short.Service, "shortCentre", d.Short.DataCentre, "wait", d.Wait, "slack", d.Slack, "weight", d.Request.Weight, "workspace", d.Request.Workspace, "retryAfter", d.RetryAfter)
	}
	results := map[ident.Instance]*message.StageResults{}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		d, found := refused[p.id.Request]
		if !found || p.hasPriorWork() {
			return false
		}
		b.stats.Refused++
		b.drop(p)
		addResult(results, p, message.PieceRefused)
		reported := results[p.work.origin].Results
		reported[len(reported)-1].RetryAfter = d.RetryAfter
		return true
	})
	for _, to := range value.SortedKeys(results) {
		b.config.Output.SendResults(to, *results[to])
	}
}

// logContention logs which pools have become short of capacity or are no longer.
func (b *Batcher) logContention() {
	for _, c := range b.admission.TakeChanges(b.now()) {
		event := "poolRelieved"
		if c.Contended {
			event = "poolContended"
		}
		b.config.Output.LogEvent(event, "service", c.Pool.Service, "poolCentre", c.Pool.DataCentre, "wait", c.Wait, "piecesPerSecond", int(c.PiecesPerSecond), "workspaces", c.Largest)
	}
}
