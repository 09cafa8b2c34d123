package batching

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/value"
)

// candidates returns the endpoints of a pool that may get calls.
func (b *Batcher) candidates(pool ident.Pool) []*endpoints.Endpoint {
	return b.config.Directory.PoolCandidates(b.now(), pool)
}

// idleEndpoints returns the endpoints that can take a call now, and the number of
// all candidates.
func (b *Batcher) idleEndpoints(pool ident.Pool, profile *published.BatchProfile) ([]*endpoints.Endpoint, int) {
	now := b.now()
	candidates := b.candidates(pool)
	var idle []*endpoints.Endpoint
	for _, e := range candidates {
		es := b.endpointState(e.Name)
		if es.runningCalls >= profile.Slots || now.Before(es.pausedUntil) {
			continue
		}
		if es.latencyRatio > slowLatencyRatio && now.Sub(es.lastCallAt) < probeInterval {
			continue
		}
		if b.config.MayCall(e, pool) {
			idle = append(idle, e)
		}
	}
	return idle, len(candidates)
}

// shouldLinger reports whether to wait for more pieces to fill a call, and
// schedules the next dispatch then. Waiting pays when few endpoints are idle: a
// small call would occupy one of them for the whole call overhead.
func (b *Batcher) shouldLinger(pool ident.Pool, q *queue, profile *published.BatchProfile, idleCount, candidateCount int) bool {
	waiting := q.waiting
	if b.pipelineAdmission() {
		// Held pieces fill no call.
		waiting = slices.DeleteFunc(slices.Clone(waiting), func(p *piece) bool { return p.rank >= heldRank })
	}
	if len(waiting) == 0 || 2*len(waiting) >= profile.MaxPiecesPerCall || 2*idleCount > candidateCount {
		return false
	}
	oldest := waiting[0].submittedAt
	for _, p := range waiting {
		if p.submittedAt.Before(oldest) {
			oldest = p.submittedAt
		}
	}
	lingerLeft := lingerTime - b.now().Sub(oldest)
	if lingerLeft <= 0 {
		return false
	}
	if q.lingerTimer == nil {
		q.lingerTimer = b.config.Timers.After(lingerLeft, func() {
			q.lingerTimer = nil
			b.Dispatch(pool)
		})
	}
	return true
}

// formCall starts one call with the most urgent pieces that fit. It returns
// false if no piece fits on any idle endpoint.
func (b *Batcher) formCall(pool ident.Pool, q *queue, profile *published.BatchProfile, idle []*endpoints.Endpoint) bool {
	e := b.chooseEndpoint(q.waiting, profile, idle)
	if e == nil {
		return false
	}
	es := b.endpointState(e.Name)
	maxPieces := profile.MaxPiecesPerCall
	if es.latencyRatio > slowLatencyRatio {
		maxPieces = 1
	}
	freeBytes := es.freeBytes(b.now(), profile)
	chosen := value.NewSet[int]()
	for _, i := range b.orderForEndpoint(q.waiting, e) {
		p := q.waiting[i]
		if p.rank >= heldRank {
			continue
		}
		if len(chosen) < maxPieces && p.work.ResultBytes <= freeBytes && !b.hasCloserEndpoint(p, e, profile, idle) {
			freeBytes -= p.work.ResultBytes
			chosen.Add(i)
		}
	}
	if len(chosen) == 0 {
		return false
	}
	var pieces []*piece
	remaining := q.waiting[:0]
	for i, p := range q.waiting {
		if chosen.Has(i) {
			pieces = append(pieces, p)
		} else {
			remaining = append(remaining, p)
		}
	}
	q.waiting = remaining
	b.startCall(pool, e, es, pieces)
	return true
}

// orderForEndpoint returns the indexes of pieces in the order in which they are
// considered for an endpoint: by rank, plus a penalty of at most
// maxLocalityDelay for the bytes that they would move between data centres.
func (b *Batcher) orderForEndpoint(pieces []*piece, e *endpoints.Endpoint) []int {
	order := make([]int, len(pieces))
	rank := make([]time.Duration, len(pieces))
	for i, p := range pieces {
		order[i] = i
		rank[i] = p.rank
		rank[i] += min(time.Duration(b.crossDataCentreBytes(p, e.DataCentre))*localityDelay/largeTransferBytes, maxLocalityDelay)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(rank[x], rank[y]) })
	return order
}

// crossDataCentreBytes returns the bytes that move between data centres if a
// piece is computed in the given one: its inputs, and its result once for each
// consumer.
func (b *Batcher) crossDataCentreBytes(p *piece, dataCentre ident.DataCentre) int {
	bytes := p.work.inputSizes.totalBytes - p.work.inputSizes.bytesByDataCentre[dataCentre]
	if p.work.PreferredDataCentre != "" && p.work.PreferredDataCentre != dataCentre {
		bytes += p.work.ResultBytes * p.work.Consumers
	}
	return bytes
}

func (b *Batcher) totalCrossDataCentreBytes(pieces []*piece, dataCentre ident.DataCentre) int {
	total := 0
	for _, p := range pieces {
		total += b.crossDataCentreBytes(p, dataCentre)
	}
	return total
}

// inputSizes is the size of a piece's inputs, in total and by the data centre
// of the endpoints that hold them.
type inputSizes struct {
	totalBytes        int
	bytesByDataCentre map[ident.DataCentre]int
}

func (b *Batcher) inputSizesOf(s message.StageWork) inputSizes {
	in := inputSizes{totalBytes: len(s.Inputs) * s.InputBytes, bytesByDataCentre: map[ident.DataCentre]int{}}
	for _, h := range s.Inputs {
		if e := b.config.Directory.ByAddress(h.Address()); e != nil {
			in.bytesByDataCentre[e.DataCentre] += s.InputBytes
		}
	}
	return in
}

// chooseEndpoint returns the best idle endpoint for the most urgent piece that
// fits on any, or nil. The score prefers free result capacity, fast endpoints
// and little traffic between data centres.
func (b *Batcher) chooseEndpoint(pieces []*piece, profile *published.BatchProfile, idle []*endpoints.Endpoint) *endpoints.Endpoint {
	for _, p := range pieces {
		if p.rank >= heldRank {
			return nil
		}
		var best *endpoints.Endpoint
		bestScore := 0.0
		for _, e := range idle {
			es := b.endpointState(e.Name)
			freeBytes := es.freeBytes(b.now(), profile)
			if freeBytes < p.work.ResultBytes {
				continue
			}
			score := float64(freeBytes)/float64(profile.ResultCapacityBytes) + 1/es.latencyRatio
			score -= crossTrafficWeight * float64(b.crossDataCentreBytes(p, e.DataCentre)) / largeTransferBytes
			if best == nil || score > bestScore {
				best, bestScore = e, score
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// hasCloserEndpoint reports whether a piece fits on another idle endpoint with
// at least largeTransferBytes less traffic between data centres.
func (b *Batcher) hasCloserEndpoint(p *piece, e *endpoints.Endpoint, profile *published.BatchProfile, idle []*endpoints.Endpoint) bool {
	crossBytes := b.crossDataCentreBytes(p, e.DataCentre)
	if crossBytes < largeTransferBytes {
		return false
	}
	for _, o := range idle {
		hasCapacity := b.endpointState(o.Name).freeBytes(b.now(), profile) >= p.work.ResultBytes
		if hasCapacity && crossBytes-b.crossDataCentreBytes(p, o.DataCentre) >= largeTransferBytes {
			return true
		}
	}
	return false
}

func (b *Batcher) startCall(pool ident.Pool, e *endpoints.Endpoint, es *endpointState, pieces []*piece) {
	now := b.now()
	b.lastCallID++
	c := &call{id: b.lastCallID, pool: pool, endpoint: e.Name, address: e.Address, pieces: pieces, startedAt: now}
	profile := b.config.BatchProfile(pool.Service)
	c.expectedTime = profile.CallOverhead + time.Duration(len(pieces))*profile.TimePerPiece
	items := make([]Item, len(pieces))
	b.noteStarted(pool, pieces)
	for i, p := range pieces {
		p.state = pieceRunning
		p.attempts++
		p.runningCalls++
		c.works = append(c.works, p.work)
		es.reservedBytes += p.work.ResultBytes
		items[i] = Item{ID: p.id, Remaining: p.work.deadline.Sub(now), PieceKey: p.work.PieceKey, Inputs: p.work.Inputs}
	}
	b.config.Output.LogEvent("stageCall", "call", c.id, "service", pool.Service, "endpoint", e.Name, "endpointCentre", e.DataCentre, "pieces", len(pieces), "waiting", len(b.queue(pool).waiting), "booked", es.reservedBytes, "crossing", b.totalCrossDataCentreBytes(pieces, e.DataCentre), "oldest", now.Sub(pieces[0].submittedAt))
	es.runningCalls++
	es.lastCallAt = now
	b.calls[c.id] = c
	b.recordStarted(b.queue(pool), len(pieces))
	b.stats.Calls++
	b.stats.Pieces += len(pieces)
	overdueAfter := time.Duration(overdueFactor*float64(c.expectedTime)) + overdueSlack
	b.awaitReply(c, overdueAfter)
	b.config.Timers.After(inputFetchTime, func() { b.notifyInputsFetched(c) })
	b.config.Output.StartCall(Call{ID: c.id, Endpoint: e.Name, Address: e.Address, Items: items, Timeout: callTimeoutFactor * c.expectedTime})
}

// notifyInputsFetched tells the origins of a running call's pieces that their
// inputs have been fetched and can be freed, where capacity is low: result
// capacity is the scarcest resource in a burst.
func (b *Batcher) notifyInputsFetched(c *call) {
	if b.calls[c.id] != c {
		return
	}
	byOrigin := map[ident.Instance]message.StageInputsFetched{}
	for i, p := range c.pieces {
		if w := c.works[i]; w.InputCapacityLow && b.pieces[p.id] == p {
			m := byOrigin[w.origin]
			m.Pieces, m.InputsRevisions = append(m.Pieces, p.id), append(m.InputsRevisions, w.InputsRevision)
			byOrigin[w.origin] = m
		}
	}
	for _, to := range value.SortedKeys(byOrigin) {
		b.config.Output.SendInputsFetched(to, byOrigin[to])
	}
}

// awaitReply waits for the reply to a call; after the given time it is overdue. If this
// process was paused then, the reply may have arrived meanwhile and is waited for again.
func (b *Batcher) awaitReply(c *call, wait time.Duration) {
	c.overdueAt = b.now().Add(wait)
	c.overdueTimer = b.config.Timers.After(wait, func() {
		if b.now().Sub(c.overdueAt) > maxTimerDelay {
			b.awaitReply(c, unreadReplyTime)
			return
		}
		b.handleOverdue(c)
	})
}

// handleOverdue queues the pieces of an overdue call again, for another
// endpoint, and marks the endpoint as slow, so that it gets only probe calls.
func (b *Batcher) handleOverdue(c *call) {
	b.stats.Overdue++
	b.config.Output.LogEvent("stageCallOverdue", "service", c.pool.Service, "endpoint", c.endpoint, "pieces", len(c.pieces), "expected", c.expectedTime)
	es := b.endpointState(c.endpoint)
	es.latencyRatio = max(es.latencyRatio, 2*slowLatencyRatio)
	if e := b.config.Directory.Lookup(c.endpoint); e != nil {
		b.config.Output.SuspectEndpoint(e)
	}
	for _, p := range c.pieces {
		b.requeue(p)
	}
	b.Dispatch(c.pool)
}

// requeue puts a running piece back into the queue, unless it was cancelled or withdrawn.
// After maxAttempts it is reported as failed instead.
func (b *Batcher) requeue(p *piece) {
	if b.pieces[p.id] != p || p.state != pieceRunning {
		return
	}
	if p.withdrawn {
		b.drop(p)
		return
	}
	if p.attempts >= maxAttempts {
		b.drop(p)
		b.reportOutcome(p, message.PieceFailed)
		return
	}
	p.state = pieceWaiting
	q := b.queue(p.work.Pool())
	q.waiting = append(q.waiting, p)
}

// endCall removes a call, releases the capacity reserved for it and returns it.
// It returns nil if the call is not known.
func (b *Batcher) endCall(id CallID) *call {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	delete(b.calls, id)
	b.config.Timers.Stop(c.overdueTimer)
	es := b.endpointState(c.endpoint)
	es.runningCalls--
	for i, p := range c.pieces {
		p.runningCalls--
		es.reservedBytes -= c.works[i].ResultBytes
	}
	return c
}

// HandleReply handles the reply to a call. A reply to another call counts as none.
func (b *Batcher) HandleReply(id CallID, r Reply) {
	if c := b.calls[id]; c != nil && !b.answers(c, r) {
		b.HandleCallFailure(id, Broken, "the reply belongs to another call")
		return
	}
	c := b.endCall(id)
	if c == nil {
		return
	}
	now := b.now()
	es := b.endpointState(c.endpoint)
	if len(c.pieces) > 0 {
		es.lastRatio = float64(now.Sub(c.startedAt)) / float64(c.expectedTime)
		es.latencyRatio += latencyRatioWeight * (es.lastRatio - es.latencyRatio)
	}
	results := map[ident.Instance]*message.StageResults{}
	for i, p := range c.pieces {
		b.handleItem(c, p, c.works[i], r.Items[i], results)
	}
	capacityLow := b.isCapacityLow(c)
	for _, to := range value.SortedKeys(results) {
		results[to].CapacityLow = capacityLow
		b.config.Output.SendResults(to, *results[to])
	}
	b.Dispatch(c.pool)
}

// answers reports whether a reply can be that to a call. An endpoint may send a
// second copy of a reply, which arrives in place of the next one: it then has
// another number of items, or results that are known already.
func (b *Batcher) answers(c *call, r Reply) bool {
	if len(r.Items) != len(c.pieces) {
		return false
	}
	return !slices.ContainsFunc(r.Items, func(item ReplyItem) bool {
		return item.Outcome == ItemDone && (item.Handle == "" || b.reservations[item.Handle] != nil)
	})
}

// handleItem handles the outcome of one piece of a call, which began with the given submission,
// and adds what its origin has to be told to results.
func (b *Batcher) handleItem(c *call, p *piece, begun *work, item ReplyItem, results map[ident.Instance]*message.StageResults) {
	wanted := b.pieces[p.id] == p && p.state != pieceDone
	if item.Outcome == ItemDone {
		b.reserve(c, p, item.Handle)
		if !wanted {
			b.stats.Duplicates++
			b.freeResult(item.Handle)
			return
		}
		if p.state == pieceWaiting {
			q := b.queue(p.work.Pool())
			q.waiting = slices.DeleteFunc(q.waiting, func(o *piece) bool { return o == p })
		}
		p.state = pieceDone
		p.handle = item.Handle
		addResult(results, p, message.PieceDone)
		return
	}
	if !wanted || p.state == pieceWaiting {
		return
	}
	switch item.Outcome {
	case ItemExpired:
		b.stats.Expired++
		b.drop(p)
		addResult(results, p, message.PieceExpired)
	case ItemInputGone:
		b.stats.InputGone++
		if p.runningCalls > 0 {
			return
		}
		if !slices.Equal(begun.Inputs, p.work.Inputs) {
			p.attempts--
			b.requeue(p)
			return
		}
		b.drop(p)
		addResult(results, p, message.PieceInputGone)
	case ItemNoCapacity:
		b.stats.NoCapacity++
		b.pauseAndInspect(c)
		p.attempts--
		b.requeue(p)
	default:
		b.requeue(p)
	}
}

func addResult(results map[ident.Instance]*message.StageResults, p *piece, outcome message.PieceOutcome) {
	r := results[p.work.origin]
	if r == nil {
		r = &message.StageResults{Service: p.work.Service, PoolDataCentre: p.work.PoolDataCentre}
		results[p.work.origin] = r
	}
	r.Results = append(r.Results, p.result(outcome))
}

// HandleCallFailure handles a call that failed without a usable reply. It queues
// the pieces again; a call that was not sent or was declined does not count as an
// attempt.
func (b *Batcher) HandleCallFailure(id CallID, f CallFailure, detail string) {
	c := b.endCall(id)
	if c == nil {
		return
	}
	now := b.now()
	es := b.endpointState(c.endpoint)
	e := b.config.Directory.Lookup(c.endpoint)
	b.config.Output.LogEvent("stageCallFailed", "service", c.pool.Service, "endpoint", c.endpoint, "pieces", len(c.pieces), "failure", f, "detail", detail, "after", now.Sub(c.startedAt))
	switch f {
	case Declined:
		b.stats.Declined++
		es.pausedUntil = now.Add(declinedBackoff)
		b.config.Timers.After(declinedBackoff, func() { b.Dispatch(c.pool) })
	case NotSent, Broken, Replaced:
		b.stats.Broken++
		if e != nil {
			if f == Replaced {
				e.MarkReplaced(now)
			} else {
				e.MarkUnreachable(now)
				b.config.Output.SuspectEndpoint(e)
			}
			b.config.Timers.After(endpoints.BaseEjectionTime, func() { b.Dispatch(c.pool) })
		}
	}
	for _, p := range c.pieces {
		if f == NotSent || f == Declined {
			p.attempts--
		}
		b.requeue(p)
	}
	b.Dispatch(c.pool)
}
