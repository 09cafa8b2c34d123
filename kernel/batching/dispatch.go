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

// idle returns the endpoints that can take a call now, and the number of
// endpoints in use.
func (b *Batcher) idle(s ident.Service, batches *published.BatchProfile) ([]*endpoints.Endpoint, int) {
	now := b.now()
	candidates := b.config.Directory.Candidates(now, s, nil)
	var idle []*endpoints.Endpoint
	for _, e := range candidates {
		m := b.maker(e.Name)
		if m.calls >= batches.Slots || now.Before(m.pausedTo) {
			continue
		}
		if m.speed > slowFactor && now.Sub(m.lastCall) < testPeriod {
			continue
		}
		idle = append(idle, e)
	}
	return idle, len(candidates)
}

// lingers reports whether to wait for a fuller call. Waiting pays when few
// endpoints are free: a small call would keep one of them busy for the fixed
// part of a call.
func (b *Batcher) lingers(s ident.Service, q *queue, batches *published.BatchProfile, idle, all int) bool {
	if 2*len(q.waiting) >= batches.MaxPiecesPerCall || 2*idle > all {
		return false
	}
	oldest := q.waiting[0].since
	for _, p := range q.waiting {
		if p.since.Before(oldest) {
			oldest = p.since
		}
	}
	left := lingerTime - b.now().Sub(oldest)
	if left <= 0 {
		return false
	}
	if q.linger == nil {
		q.linger = b.config.Timers.After(left, func() {
			q.linger = nil
			b.Dispatch(s)
		})
	}
	return true
}

// fill forms one call. It returns false when nothing fits anywhere.
func (b *Batcher) fill(s ident.Service, q *queue, batches *published.BatchProfile, idle []*endpoints.Endpoint) bool {
	e := b.choose(q.waiting, batches, idle)
	if e == nil {
		return false
	}
	m := b.maker(e.Name)
	most := batches.MaxPiecesPerCall
	if m.speed > slowFactor {
		most = 1
	}
	room := m.room(b.now(), batches)
	taken := value.NewSet[int]()
	for _, i := range b.nearFirst(q.waiting, e) {
		p := q.waiting[i]
		if p.rank >= heldRank {
			continue
		}
		if len(taken) < most && p.work.ResultBytes <= room && !b.betterElsewhere(p, e, batches, idle) {
			room -= p.work.ResultBytes
			taken.Add(i)
		}
	}
	if len(taken) == 0 {
		return false
	}
	var pieces []*piece
	kept := q.waiting[:0]
	for i, p := range q.waiting {
		if taken.Has(i) {
			pieces = append(pieces, p)
		} else {
			kept = append(kept, p)
		}
	}
	q.waiting = kept
	b.start(s, batches, e, m, pieces)
	return true
}

// nearFirst returns the order in which pieces are offered to an endpoint:
// those that would move many bytes between data centres come later than their
// urgency says, by at most maxNearSlack.
func (b *Batcher) nearFirst(pieces []*piece, e *endpoints.Endpoint) []int {
	order := make([]int, len(pieces))
	rank := make([]time.Duration, len(pieces))
	for i, p := range pieces {
		order[i] = i
		rank[i] = p.rank
		rank[i] += min(time.Duration(b.crossing(p, e.DataCentre))*nearSlack/largeResult, maxNearSlack)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(rank[x], rank[y]) })
	return order
}

// crossing returns the bytes that move between data centres if a piece is
// made in the given one: its inputs, and its result to those that fetch it.
func (b *Batcher) crossing(p *piece, centre ident.DataCentre) int {
	bytes := p.work.inputsBy.total - p.work.inputsBy.centres[centre]
	if p.work.PreferredDataCentre != "" && p.work.PreferredDataCentre != centre {
		bytes += p.work.ResultBytes * p.work.Consumers
	}
	return bytes
}

func (b *Batcher) crossingOf(pieces []*piece, centre ident.DataCentre) int {
	total := 0
	for _, p := range pieces {
		total += b.crossing(p, centre)
	}
	return total
}

// inputBytes sums up inputs by the data centre of their makers.
type inputBytes struct {
	total   int
	centres map[ident.DataCentre]int
}

func (b *Batcher) inputsOf(s message.StageWork) inputBytes {
	in := inputBytes{total: len(s.Inputs) * s.InputBytes, centres: map[ident.DataCentre]int{}}
	for _, h := range s.Inputs {
		if e := b.config.Directory.ByAddress(EndpointAddress(h)); e != nil {
			in.centres[e.DataCentre] += s.InputBytes
		}
	}
	return in
}

// choose takes the free endpoint for the most urgent piece that fits
// somewhere: in the data centre where its result is used if possible, else
// the one with the most room.
func (b *Batcher) choose(pieces []*piece, batches *published.BatchProfile, idle []*endpoints.Endpoint) *endpoints.Endpoint {
	for _, p := range pieces {
		if p.rank >= heldRank {
			return nil
		}
		var best *endpoints.Endpoint
		bestScore := 0.0
		for _, e := range idle {
			m := b.maker(e.Name)
			room := m.room(b.now(), batches)
			if room < p.work.ResultBytes {
				continue
			}
			score := float64(room)/float64(batches.ResultCapacityBytes) + 1/m.speed
			score -= crossWeight * float64(b.crossing(p, e.DataCentre)) / largeResult
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

// betterElsewhere reports whether a piece can go to another free endpoint with
// much less traffic between data centres.
func (b *Batcher) betterElsewhere(p *piece, e *endpoints.Endpoint, batches *published.BatchProfile, idle []*endpoints.Endpoint) bool {
	here := b.crossing(p, e.DataCentre)
	if here < largeResult {
		return false
	}
	for _, o := range idle {
		fits := b.maker(o.Name).room(b.now(), batches) >= p.work.ResultBytes
		if fits && here-b.crossing(p, o.DataCentre) >= largeResult {
			return true
		}
	}
	return false
}

func (b *Batcher) start(s ident.Service, batches *published.BatchProfile, e *endpoints.Endpoint, m *maker, pieces []*piece) {
	now := b.now()
	b.nextCall++
	c := &call{id: b.nextCall, service: s, endpoint: e.Name, address: e.Address, pieces: pieces, started: now}
	c.expected = batches.CallOverhead + time.Duration(len(pieces))*batches.TimePerPiece
	items := make([]Item, len(pieces))
	for i, p := range pieces {
		p.state = running
		p.tries++
		p.calls++
		m.booked += p.work.ResultBytes
		items[i] = Item{ID: p.id, Remaining: p.work.deadline.Sub(now), PieceKey: p.work.PieceKey, Inputs: p.work.Inputs}
	}
	b.config.Output.LogEvent("stageCall", "call", c.id, "service", s, "endpoint", e.Name, "endpointCentre", e.DataCentre, "pieces", len(pieces), "waiting", len(b.queue(s).waiting), "booked", m.booked, "crossing", b.crossingOf(pieces, e.DataCentre), "oldest", now.Sub(pieces[0].since))
	m.calls++
	m.lastCall = now
	b.calls[c.id] = c
	b.count(b.queue(s), len(pieces))
	b.stats.Calls++
	b.stats.Pieces += len(pieces)
	overdue := time.Duration(overdueFactor*float64(c.expected)) + overdueSlack
	c.overdue = b.config.Timers.After(overdue, func() { b.overdue(c) })
	b.config.Timers.After(fetchTime, func() { b.taken(c) })
	b.config.Output.StartCall(Call{ID: c.id, Endpoint: e.Name, Address: e.Address, Items: items, Timeout: callLimitFactor * c.expected})
}

// inspect asks an endpoint that has less room than the books say, and gives it
// no work until it has answered or a pause is over.
func (b *Batcher) inspect(c *call) {
	now := b.now()
	m := b.maker(c.endpoint)
	m.pausedTo = now.Add(declinedPause)
	if now.Sub(m.inspected) < inspectPause {
		return
	}
	m.inspected = now
	b.config.Output.InspectEndpoint(c.endpoint, c.address)
}

// HandleInspection takes in the room that an endpoint has at most, by its report.
func (b *Batcher) HandleInspection(name ident.Endpoint, free int) {
	e := b.config.Directory.Lookup(name)
	if e == nil {
		return
	}
	batches := b.config.BatchProfile(e.Service)
	if batches == nil {
		return
	}
	m := b.maker(name)
	foreign := max(batches.ResultCapacityBytes-free-m.booked, 0)
	b.config.Output.LogEvent("roomInspected", "endpoint", name, "free", free, "booked", m.booked, "foreign", foreign)
	if foreign > 0 {
		m.foreign = foreign
		m.foreignUntil = b.now().Add(inspectPause)
	}
	b.Dispatch(e.Service)
}

// taken tells the origins that a running call has fetched its inputs, so that
// they can be freed: room for results is the scarcest thing in a burst.
func (b *Batcher) taken(c *call) {
	if b.calls[c.id] != c {
		return
	}
	byOrigin := map[ident.Instance][]message.PieceID{}
	for _, p := range c.pieces {
		if p.work.InputCapacityLow && b.pieces[p.id] == p {
			byOrigin[p.work.origin] = append(byOrigin[p.work.origin], p.id)
		}
	}
	for _, to := range value.SortedKeys(byOrigin) {
		b.config.Output.SendInputsFetched(to, message.StageInputsFetched{Pieces: byOrigin[to]})
	}
}

// overdue makes the pieces of a call that takes too long elsewhere too, and
// leaves the endpoint alone until it replies.
func (b *Batcher) overdue(c *call) {
	b.stats.Overdue++
	b.config.Output.LogEvent("stageCallOverdue", "service", c.service, "endpoint", c.endpoint, "pieces", len(c.pieces), "expected", c.expected)
	m := b.maker(c.endpoint)
	m.speed = max(m.speed, 2*slowFactor)
	for _, p := range c.pieces {
		b.requeue(p)
	}
	b.Dispatch(c.service)
}

// requeue lets a piece wait again, unless it is done, withdrawn or failed too
// often.
func (b *Batcher) requeue(p *piece) {
	if b.pieces[p.id] != p || p.state != running {
		return
	}
	if p.tries >= maxTries {
		b.drop(p)
		b.report(p, message.PieceFailed)
		return
	}
	p.state = waiting
	q := b.queue(p.work.Service)
	q.waiting = append(q.waiting, p)
}

// end takes a call off the books and returns it, or nil.
func (b *Batcher) end(id CallID) *call {
	c := b.calls[id]
	if c == nil {
		return nil
	}
	delete(b.calls, id)
	b.config.Timers.Stop(c.overdue)
	m := b.maker(c.endpoint)
	m.calls--
	for _, p := range c.pieces {
		p.calls--
		m.booked -= p.work.ResultBytes
	}
	return c
}

// HandleReply takes in the reply to a call.
func (b *Batcher) HandleReply(id CallID, r Reply) {
	c := b.end(id)
	if c == nil {
		return
	}
	now := b.now()
	m := b.maker(c.endpoint)
	if len(c.pieces) > 0 {
		m.speed += speedWeight * (float64(now.Sub(c.started))/float64(c.expected) - m.speed)
	}
	results := map[ident.Instance]*message.StageResults{}
	for i, p := range c.pieces {
		item := ReplyItem{Outcome: ItemFailed}
		if i < len(r.Items) {
			item = r.Items[i]
		}
		b.settle(c, p, item, results)
	}
	scarce := b.scarce(c)
	for _, to := range value.SortedKeys(results) {
		results[to].CapacityLow = scarce
		b.config.Output.SendResults(to, *results[to])
	}
	b.Dispatch(c.service)
}

// scarce reports whether the endpoint of a call is short of room for results.
func (b *Batcher) scarce(c *call) bool {
	batches := b.config.BatchProfile(c.service)
	return batches != nil && float64(b.maker(c.endpoint).booked) > scarceShare*float64(batches.ResultCapacityBytes)
}

func (b *Batcher) settle(c *call, p *piece, item ReplyItem, results map[ident.Instance]*message.StageResults) {
	wanted := b.pieces[p.id] == p && p.state != done
	if item.Outcome == ItemDone {
		b.book(c, p, item.Handle)
		if !wanted {
			b.stats.Duplicates++
			b.free(item.Handle)
			return
		}
		if p.state == waiting {
			q := b.queue(c.service)
			q.waiting = slices.DeleteFunc(q.waiting, func(o *piece) bool { return o == p })
		}
		p.state = done
		p.handle = item.Handle
		add(results, p, message.PieceDone)
		return
	}
	if !wanted || p.state == waiting {
		return
	}
	switch item.Outcome {
	case ItemExpired:
		b.stats.Expired++
		b.drop(p)
		add(results, p, message.PieceExpired)
	case ItemInputGone:
		b.stats.InputGone++
		if p.calls > 0 {
			return
		}
		b.drop(p)
		add(results, p, message.PieceInputGone)
	case ItemNoCapacity:
		b.stats.NoCapacity++
		b.inspect(c)
		p.tries--
		b.requeue(p)
	default:
		b.requeue(p)
	}
}

func add(results map[ident.Instance]*message.StageResults, p *piece, outcome message.PieceOutcome) {
	r := results[p.work.origin]
	if r == nil {
		r = &message.StageResults{Service: p.work.Service}
		results[p.work.origin] = r
	}
	r.Results = append(r.Results, message.PieceResult{ID: p.id, Outcome: outcome, Handle: p.handle})
}

// book counts a result's room at its maker until it is freed or expires.
func (b *Batcher) book(c *call, p *piece, h message.ResultHandle) {
	keep := time.Duration(0)
	if batches := b.config.BatchProfile(c.service); batches != nil {
		keep = batches.ResultRetention
	}
	k := &booking{service: c.service, bytes: p.work.ResultBytes, endpoint: c.endpoint, address: c.address}
	b.maker(c.endpoint).booked += k.bytes
	b.bookings[h] = k
	k.expiry = b.config.Timers.After(keep+handleNetwork, func() {
		b.unbook(h)
		if b.pieces[p.id] == p && p.handle == h {
			b.drop(p)
		}
		b.Dispatch(c.service)
	})
}

// HandleCallFailure takes in that a call brought no reply.
func (b *Batcher) HandleCallFailure(id CallID, f CallFailure, detail string) {
	c := b.end(id)
	if c == nil {
		return
	}
	now := b.now()
	m := b.maker(c.endpoint)
	e := b.config.Directory.Lookup(c.endpoint)
	b.config.Output.LogEvent("stageCallFailed", "service", c.service, "endpoint", c.endpoint, "pieces", len(c.pieces), "failure", f, "detail", detail, "after", now.Sub(c.started))
	switch f {
	case CallDeclined:
		b.stats.Declined++
		m.pausedTo = now.Add(declinedPause)
		b.config.Timers.After(declinedPause, func() { b.Dispatch(c.service) })
	case EndpointUnreachable, CallBroken, EndpointReplaced:
		b.stats.Broken++
		if e != nil {
			if f == EndpointReplaced {
				e.MarkReplaced(now)
			} else {
				e.MarkUnreachable(now)
			}
			b.config.Timers.After(endpoints.BaseEjectionTime, func() { b.Dispatch(c.service) })
		}
	}
	for _, p := range c.pieces {
		if f == EndpointUnreachable || f == CallDeclined {
			p.tries--
		}
		b.requeue(p)
	}
	b.Dispatch(c.service)
}
