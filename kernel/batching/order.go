package batching

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
)

const (
	// startedLife is how long the results that a late piece builds on may
	// wait for it: less than endpoints keep them.
	startedLife = 2500 * time.Millisecond
	// lateWeight is the weight of a late request against one that can be on
	// time.
	lateWeight = 0.3
	// lateRank puts late pieces behind all that can be on time.
	lateRank = time.Hour
)

// order sorts the waiting pieces so that as much weight as possible is done
// in time: by due time, but where that would make a piece late, the pieces of
// the least weight before it are put last (Moore and Hodgson's rule).
func (b *Batcher) order(s ident.Service, q *queue, batches *published.Batches) {
	now := b.now()
	b.dropExpired(q, now)
	turns := b.turns(s, batches)
	var timely, late []*piece
	for _, p := range q.waiting {
		if due, ok := p.target(now, batches); ok {
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
		if c := cmp.Compare(y.work.Weight, x.work.Weight); c != 0 {
			return c
		}
		return x.work.deadline.Compare(y.work.deadline)
	})
	for i, p := range late {
		p.rank = lateRank + time.Duration(i)*time.Millisecond
	}
	slices.SortStableFunc(q.waiting, func(x, y *piece) int { return cmp.Compare(x.rank, y.rank) })
}

// dropExpired answers the pieces that are of no use any more.
func (b *Batcher) dropExpired(q *queue, now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool {
		if p.work.deadline.After(now) {
			return false
		}
		b.stats.LatePieces++
		delete(b.pieces, p.id)
		b.report(p, message.PieceLate)
		return true
	})
}

// target returns when a piece has to be done: in time for its request, or,
// if that cannot be, before the results that it builds on expire. A late piece
// that builds on nothing has no target.
func (p *piece) target(now time.Time, batches *published.Batches) (time.Time, bool) {
	if soonest := now.Add(batches.CallTime); p.work.due.After(soonest) {
		return p.work.due, true
	}
	if len(p.work.Inputs) > 0 {
		return p.work.since.Add(startedLife), true
	}
	return time.Time{}, false
}

// weight is the piece's weight as long as it has a target.
func (p *piece) weight() float64 {
	if p.rank < 0 || !p.work.due.After(p.work.since) {
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

func (b *Batcher) turns(s ident.Service, batches *published.Batches) turns {
	now := b.now()
	t := turns{batch: max(batches.MaxPieces, 1), full: batches.CallTime + time.Duration(batches.MaxPieces)*batches.PieceTime}
	busy := map[ident.Endpoint]time.Duration{}
	for _, c := range b.calls {
		busy[c.endpoint] = max(busy[c.endpoint], c.started.Add(c.expected).Sub(now), 0)
	}
	for _, e := range b.config.Book.Candidates(now, s, nil) {
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
