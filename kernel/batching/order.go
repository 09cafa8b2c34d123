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
	// startedLife is how long the results that a late piece builds on may
	// wait for it: less than endpoints keep them.
	startedLife = 2500 * time.Millisecond
	// lateWeight is the weight of a late request against one that can be on
	// time.
	lateWeight = 0.15
	// lateRank puts late pieces behind all that can be on time.
	lateRank = time.Hour
	// maxLateWait is how long a late request may wait for its first turn in
	// all: beyond it, refusing it costs its caller less than the wait.
	maxLateWait = 1200 * time.Millisecond
	// leastRetryAfter is the earliest time at which refused callers are told to
	// come back: bursts last some five seconds, and who comes back into one is
	// refused again.
	leastRetryAfter = 3 * time.Second
	// returnSpread is the time over which refused callers come back, so that
	// those of one moment do not meet again.
	returnSpread = 2 * time.Second
	// goldenRatio steps through the spread evenly, however many come.
	goldenRatio = 0.618034
	// heldRank marks pieces that are not made now.
	heldRank = 2 * time.Hour
)

// held reports whether a piece would begin a chain whose later stages are
// congested: its result would only take room there and expire.
func (b *Batcher) held(p *piece, backlogs map[ident.Service]time.Duration) bool {
	limit := maxDownstream + time.Duration(p.work.Weight*float64(moreDownstream))
	if p.late {
		limit = lateDownstream
	}
	for _, s := range p.work.DownstreamServices {
		wait, known := backlogs[s]
		if !known {
			wait = b.config.QueueWait(s)
			backlogs[s] = wait
		}
		if wait > limit {
			return true
		}
	}
	return false
}

// EstimateQueueWait estimates how long a new piece waits for its turn at a service that
// this instance batches for.
func (b *Batcher) EstimateQueueWait(s ident.Service) time.Duration {
	q, batches := b.queue(s), b.config.BatchProfile(s)
	if batches == nil || len(q.waiting) == 0 {
		return 0
	}
	eligible := 0
	for _, p := range q.waiting {
		if p.rank < heldRank {
			eligible++
		}
	}
	t := b.turns(s, batches)
	wait := t.finish(eligible+1) - batches.CallOverhead
	if rate := b.rate(q); rate > 0 {
		wait = max(wait, time.Duration(float64(eligible)/rate*float64(time.Second)))
	}
	return max(wait, 0)
}

// count adds started pieces to the rate.
func (b *Batcher) count(q *queue, pieces int) {
	q.advance(b.now())
	q.started[q.slot%rateSlots] += pieces
}

func (q *queue) advance(now time.Time) {
	slot := now.UnixNano() / int64(rateSlot)
	for q.slot = max(q.slot, slot-rateSlots); q.slot < slot; {
		q.slot++
		q.started[q.slot%rateSlots] = 0
	}
}

// rate returns the pieces started in a second, lately.
func (b *Batcher) rate(q *queue) float64 {
	q.advance(b.now())
	total := 0
	for _, n := range q.started {
		total += n
	}
	return float64(total) / (time.Duration(rateSlots) * rateSlot).Seconds()
}

// order sorts the waiting pieces so that as much weight as possible is done
// in time: by due time, but where that would make a piece late, the pieces of
// the least weight before it are put last (Moore and Hodgson's rule).
func (b *Batcher) order(s ident.Service, q *queue, batches *published.BatchProfile) {
	now := b.now()
	b.dropExpired(q, now)
	turns := b.turns(s, batches)
	backlogs := map[ident.Service]time.Duration{}
	var timely, late []*piece
	for _, p := range q.waiting {
		due, ok := p.target(now, batches)
		if b.held(p, backlogs) {
			p.rank = heldRank
			continue
		}
		if ok {
			p.rank = due.Sub(now)
			timely = append(timely, p)
			continue
		}
		late = append(late, p)
	}
	slices.SortStableFunc(timely, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
	var kept byWeight
	for _, p := range timely {
		heap.Push(&kept, p)
		if turns.finish(len(kept)) > p.rank {
			dropped := heap.Pop(&kept).(*piece)
			late = append(late, dropped)
		}
	}
	slices.SortStableFunc(late, func(x, y *piece) int {
		if x.begun() != y.begun() {
			if x.begun() {
				return -1
			}
			return 1
		}
		if c := cmp.Compare(y.work.Weight, x.work.Weight); c != 0 {
			return c
		}
		return x.work.deadline.Compare(y.work.deadline)
	})
	for i, p := range late {
		p.rank = lateRank + time.Duration(i)*time.Millisecond
	}
	b.refuse(s, q, late, len(kept), turns)
	slices.SortStableFunc(q.waiting, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
}

// refuse turns away the late pieces that begin a chain and whose turn will not
// come in a useful time: told at once, their callers can come back when there
// is room.
func (b *Batcher) refuse(s ident.Service, q *queue, late []*piece, timely int, t turns) {
	now := b.now()
	refused := value.NewSet[ident.RequestID]()
	retryAfter := leastRetryAfter
	for i, p := range late {
		wait := t.finish(timely + i + 1)
		chain := time.Duration(len(p.work.DownstreamServices)) * t.full
		waited := now.Sub(p.since)
		if p.begun() || waited+wait <= maxLateWait && wait+chain < p.work.deadline.Sub(now) {
			continue
		}
		refused.Add(p.work.Request)
		retryAfter = max(retryAfter, wait)
	}
	for _, p := range q.waiting {
		if p.late && p.rank >= heldRank && !p.begun() {
			refused.Add(p.work.Request)
		}
	}
	if len(refused) == 0 {
		return
	}
	results := map[ident.Instance]*message.StageResults{}
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		if !refused.Has(p.work.Request) || p.begun() {
			return false
		}
		b.stats.Refused++
		b.drop(p)
		add(results, p, message.PieceRefused)
		list := results[p.work.origin].Results
		list[len(list)-1].RetryAfter = retryAfter + q.spread(p.id.Request)
		return true
	})
	for _, to := range value.SortedKeys(results) {
		b.config.Output.SendResults(to, *results[to])
	}
	b.config.Output.LogEvent("piecesRefused", "service", s, "requests", len(refused), "timely", timely, "late", len(late), "retryAfter", retryAfter)
}

// spread returns how much later than others a refused request may come back:
// the same for all its pieces.
func (q *queue) spread(r ident.RequestID) time.Duration {
	if r != q.lastRefused {
		q.lastRefused = r
		q.refusals++
	}
	_, part := math.Modf(goldenRatio * float64(q.refusals))
	return time.Duration(part * float64(returnSpread))
}

// dropExpired answers the pieces that are of no use any more.
func (b *Batcher) dropExpired(q *queue, now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		if p.work.deadline.After(now) {
			return false
		}
		b.stats.Expired++
		b.drop(p)
		b.report(p, message.PieceExpired)
		return true
	})
}

// target returns when a piece has to be done: in time for its request, or,
// if that cannot be, before the results that it builds on expire. A late piece
// that builds on nothing has no target.
func (p *piece) target(now time.Time, batches *published.BatchProfile) (time.Time, bool) {
	p.late = !p.work.due.After(now.Add(batches.CallOverhead))
	if !p.late {
		return p.work.due, true
	}
	if p.begun() {
		return p.work.since.Add(startedLife), true
	}
	return time.Time{}, false
}

// begun reports whether the piece builds on results of earlier stages, or makes
// lost ones again for a request that has got further.
func (p *piece) begun() bool { return len(p.work.Inputs) > 0 || p.work.Recovering }

// weight is the piece's weight as long as it has a target.
func (p *piece) weight() float64 {
	if p.late {
		return p.work.Weight * lateWeight
	}
	return p.work.Weight
}

// turns estimates when the pieces of a queue are done.
type turns struct {
	// free holds how long each endpoint is still busy, ascending.
	free  []time.Duration
	batch int
	// full is the time of a full call.
	full time.Duration
}

func (b *Batcher) turns(s ident.Service, batches *published.BatchProfile) turns {
	now := b.now()
	t := turns{batch: max(batches.MaxPiecesPerCall, 1), full: batches.CallOverhead + time.Duration(batches.MaxPiecesPerCall)*batches.TimePerPiece}
	busy := map[ident.Endpoint]time.Duration{}
	for _, c := range b.calls {
		busy[c.endpoint] = max(busy[c.endpoint], c.started.Add(c.expected).Sub(now), 0)
	}
	for _, e := range b.config.Directory.Candidates(now, s, nil) {
		if b.maker(e.Name).speed <= slowFactor {
			t.free = append(t.free, busy[e.Name])
		}
	}
	slices.Sort(t.free)
	return t
}

// finish returns in how long the first so many pieces of a queue are done.
func (t turns) finish(pieces int) time.Duration {
	if len(t.free) == 0 {
		return t.full
	}
	call := (pieces - 1) / t.batch
	round := call / len(t.free)
	return t.free[call%len(t.free)] + time.Duration(round+1)*t.full
}

// byWeight is a heap of pieces, the least weight first; among equals the one
// that is due last.
type byWeight []*piece

func (w byWeight) Len() int { return len(w) }

func (w byWeight) Less(i, j int) bool {
	if x, y := w[i].weight(), w[j].weight(); x != y {
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
