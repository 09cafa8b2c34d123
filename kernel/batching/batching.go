// Package batching forms the calls to stage endpoints. A stage endpoint works
// on one call of many pieces at a time and each call has a fixed price, so all
// instances send the pieces of a service to the one that batches for it. That
// instance knows when an endpoint is free and how much room it has for
// results, fills each call by urgency, and makes a piece again when an
// endpoint fails.
package batching

import (
	"slices"
	"time"

	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// CallID identifies one call to a stage endpoint.
type CallID uint64

// Item is one piece of a call.
type Item struct {
	ID message.PieceID
	// Remaining is the time after which the result is of no use.
	Remaining time.Duration
	PieceKey  string
	Inputs    []message.ResultHandle
}

// Call asks an endpoint for pieces.
type Call struct {
	ID       CallID
	Endpoint ident.Endpoint
	Address  string
	Items    []Item
	// Timeout is how long the call may take at most.
	Timeout time.Duration
}

// Reply is what a call brought, in the order of its items.
type Reply struct {
	Items []ReplyItem
}

// ReplyItem is what became of one piece at the endpoint.
type ReplyItem struct {
	Handle  message.ResultHandle
	Outcome ItemOutcome
}

// ItemOutcome is why an endpoint did not make a piece.
type ItemOutcome int

// The reasons.
const (
	// ItemDone means that there is a result.
	ItemDone ItemOutcome = iota
	// ItemExpired means that the piece's time was over when its turn came.
	ItemExpired
	// ItemInputGone means that an input does not exist any more.
	ItemInputGone
	// ItemNoCapacity means that the endpoint has no room for results.
	ItemNoCapacity
	// ItemFailed means that the endpoint failed at the piece.
	ItemFailed
)

// CallFailure is how a call as a whole failed.
type CallFailure int

// The failures.
const (
	// EndpointUnreachable calls were not sent: the endpoint cannot be reached.
	EndpointUnreachable CallFailure = iota
	// CallDeclined calls were refused by a full endpoint.
	CallDeclined
	// EndpointReplaced means that another endpoint has the address now.
	EndpointReplaced
	// CallBroken calls were sent and brought no reply.
	CallBroken
)

// String returns the failure's name for logs.
func (f CallFailure) String() string {
	return [...]string{"unreached", "declined", "replaced", "broken"}[f]
}

// Output are the batcher's effects.
type Output struct {
	StartCall   func(Call)
	FreeResults func(address string, handles []message.ResultHandle)
	// InspectEndpoint asks an endpoint for the room that it has.
	InspectEndpoint   func(ident.Endpoint, string)
	SendResults       func(to ident.Instance, r message.StageResults)
	SendInputsFetched func(to ident.Instance, t message.StageInputsFetched)
	LogEvent          func(name string, fields ...any)
}

// Config sets up a Batcher.
type Config struct {
	Timers    *timer.Scheduler
	Directory *endpoints.Directory
	// BatchProfile returns how a service's endpoints batch, or nil.
	BatchProfile func(ident.Service) *published.BatchProfile
	// QueueWait returns the wait at a service that another instance batches
	// for.
	QueueWait func(ident.Service) time.Duration
	Output    Output
}

const (
	// lingerTime is how long a call that is under half full waits for more
	// pieces: a third of the fixed part of a call.
	lingerTime = 80 * time.Millisecond
	// orderPause is the least time between two orderings of a service's
	// pieces: small against a call.
	orderPause = 8 * time.Millisecond
	// declinedPause is how long a full endpoint is left alone: about half of
	// the fixed part of a call.
	declinedPause = 120 * time.Millisecond
	// overdueFactor and overdueSlack tell when a call takes so much longer
	// than expected that its pieces are made elsewhere too.
	overdueFactor = 1.6
	overdueSlack  = 200 * time.Millisecond
	// callLimitFactor bounds a call by its expected time.
	callLimitFactor = 8
	// slowFactor is the ratio of actual to expected time above which an
	// endpoint only gets small test calls, each testPeriod.
	slowFactor = 2.5
	testPeriod = 1500 * time.Millisecond
	// speedWeight is the weight of a new sample in the speed average.
	speedWeight = 0.4
	// maxTries bounds how often one piece is made.
	maxTries = 6
	// maxWaiting bounds the pieces that wait for one service.
	maxWaiting = 20000
	// largeResult is the traffic between data centres that a piece is moved
	// to another endpoint for.
	largeResult = 200_000
	// nearSlack is by how much a piece may be delayed to spare largeResult
	// bytes between data centres, up to maxNearSlack: a third of a call.
	nearSlack    = 40 * time.Millisecond
	maxNearSlack = 150 * time.Millisecond
	// crossWeight weighs largeResult bytes between data centres against an
	// endpoint's whole room, in the choice of a free endpoint.
	crossWeight = 0.5
	// inspectPause is how often an endpoint without room is asked how much it
	// has: its reports are some 100 ms old.
	inspectPause = 300 * time.Millisecond
	// rateSlots and rateSlot are the window over which the pieces started are
	// counted.
	rateSlots = 10
	rateSlot  = 150 * time.Millisecond
	// maxDownstream is the wait at a later stage above which no request of
	// the least weight starts its chain; full weight adds moreDownstream.
	maxDownstream  = 350 * time.Millisecond
	moreDownstream = 450 * time.Millisecond
	// lateDownstream is that wait for requests that are late anyway: they
	// start when nobody else is delayed by it.
	lateDownstream = 100 * time.Millisecond
	// scarceShare is the part of an endpoint's room above which results are
	// freed early: what is left then holds less than a full call.
	scarceShare = 0.5
	// fetchTime is how long after the start of a call its inputs are expected
	// to have been fetched: a full call's take about 20 ms on their links.
	fetchTime = 70 * time.Millisecond
	// usableRoom is the part of an endpoint's room that is booked: sizes of
	// results are stated approximately, and a piece that finds no room loses a
	// whole call, and often its inputs.
	usableRoom = 0.93
	// handleNetwork is added to an endpoint's keep time before the room of a
	// result that nobody freed is counted as free.
	handleNetwork = 300 * time.Millisecond
)

type pieceState int

const (
	waiting pieceState = iota
	running
	done
)

// work is one request's stage.
type work struct {
	message.StageWork
	origin   ident.Instance
	due      time.Time
	deadline time.Time
	since    time.Time
	inputsBy inputBytes
}

type piece struct {
	work  *work
	id    message.PieceID
	state pieceState
	tries int
	calls int
	since time.Time
	// rank is the piece's place in the last ordering, as a time.
	rank time.Duration
	// late is set when the request cannot be on time any more.
	late bool
	// handle and booked are set for a result that is kept.
	handle message.ResultHandle
}

// booking is the room of one result at its maker.
type booking struct {
	service  ident.Service
	bytes    int
	endpoint ident.Endpoint
	expiry   *timer.Timer
	address  string
}

type call struct {
	id       CallID
	service  ident.Service
	endpoint ident.Endpoint
	address  string
	pieces   []*piece
	started  time.Time
	expected time.Duration
	overdue  *timer.Timer
}

// maker is what the batcher knows of one stage endpoint.
type maker struct {
	calls    int
	booked   int
	speed    float64
	pausedTo time.Time
	lastCall time.Time
	// foreign is room that is taken by results that are not on the books:
	// those that another batcher had made.
	foreign      int
	foreignUntil time.Time
	inspected    time.Time
}

// room returns the room for results that is free, as far as is known.
func (m *maker) room(now time.Time, batches *published.BatchProfile) int {
	room := int(usableRoom*float64(batches.ResultCapacityBytes)) - m.booked
	if now.Before(m.foreignUntil) {
		room -= m.foreign
	}
	return room
}

type queue struct {
	waiting []*piece
	linger  *timer.Timer
	// ordered is when the pieces were last put in order, and pending the next
	// time if that was put off.
	ordered time.Time
	pending *timer.Timer
	// refusals counts refused requests, the last of which is lastRefused.
	refusals    int
	lastRefused ident.RequestID
	// started counts pieces by slot of time, for the rate.
	started [rateSlots]int
	slot    int64
}

// Batcher forms the calls of the services that this instance batches for.
type Batcher struct {
	config   Config
	queues   map[ident.Service]*queue
	pieces   map[message.PieceID]*piece
	requests map[ident.RequestID][]*piece
	calls    map[CallID]*call
	makers   map[ident.Endpoint]*maker
	bookings map[message.ResultHandle]*booking
	nextCall CallID
	stats    Stats
}

// Stats are the batcher's totals.
type Stats struct {
	Calls, Pieces, Declined, Broken, Overdue, NoCapacity, InputGone, Expired, Refused, Duplicates int
}

// NewBatcher returns a batcher with nothing to do.
func NewBatcher(c Config) *Batcher {
	return &Batcher{
		config:   c,
		queues:   map[ident.Service]*queue{},
		pieces:   map[message.PieceID]*piece{},
		requests: map[ident.RequestID][]*piece{},
		calls:    map[CallID]*call{},
		makers:   map[ident.Endpoint]*maker{},
		bookings: map[message.ResultHandle]*booking{},
	}
}

// Stats returns the totals.
func (b *Batcher) Stats() Stats { return b.stats }

// WaitingCount returns the number of pieces that wait for a service.
func (b *Batcher) WaitingCount(s ident.Service) int {
	if q := b.queues[s]; q != nil {
		return len(q.waiting)
	}
	return 0
}

func (b *Batcher) now() time.Time { return b.config.Timers.Now() }

func (b *Batcher) queue(s ident.Service) *queue {
	q := b.queues[s]
	if q == nil {
		q = &queue{}
		b.queues[s] = q
	}
	return q
}

func (b *Batcher) maker(e ident.Endpoint) *maker {
	m := b.makers[e]
	if m == nil {
		m = &maker{speed: 1}
		b.makers[e] = m
	}
	return m
}

// Submit takes pieces on. The same pieces may come again: what is done is
// answered from what is known.
func (b *Batcher) Submit(from ident.Instance, s message.StageWork) {
	now := b.now()
	w := &work{StageWork: s, origin: from, due: now.Add(s.TimeToDue), deadline: now.Add(s.TimeToDeadline), since: now, inputsBy: b.inputsOf(s)}
	q := b.queue(s.Service)
	for _, index := range s.Pieces {
		id := message.PieceID{Request: s.Request, Stage: s.Stage, Piece: index}
		if p := b.pieces[id]; p != nil && s.Recompute && p.state == done {
			b.free(p.handle)
			b.drop(p)
		}
		if p := b.pieces[id]; p != nil {
			p.work = w
			if p.state == done {
				b.report(p, message.PieceDone)
			}
			continue
		}
		p := &piece{work: w, id: id, since: now}
		if len(q.waiting) >= maxWaiting {
			b.report(p, message.PieceFailed)
			continue
		}
		b.pieces[id] = p
		b.requests[id.Request] = append(b.requests[id.Request], p)
		q.waiting = append(q.waiting, p)
	}
	b.Dispatch(s.Service)
}

// drop forgets a piece.
func (b *Batcher) drop(p *piece) {
	if b.pieces[p.id] != p {
		return
	}
	delete(b.pieces, p.id)
	rest := slices.DeleteFunc(b.requests[p.id.Request], func(o *piece) bool { return o == p })
	if len(rest) == 0 {
		delete(b.requests, p.id.Request)
		return
	}
	b.requests[p.id.Request] = rest
}

// HandleRelease withdraws a request's pieces, or gives results back.
func (b *Batcher) HandleRelease(r message.StageRelease) {
	if r.CancelPieces {
		b.withdraw(r)
	}
	byAddress := map[string][]message.ResultHandle{}
	for _, h := range r.Handles {
		byAddress[b.makerAddress(h)] = append(byAddress[b.makerAddress(h)], h)
	}
	for _, address := range value.SortedKeys(byAddress) {
		b.config.Output.FreeResults(address, byAddress[address])
	}
	for _, p := range slices.Clone(b.requests[r.Request]) {
		if p.state == done && slices.Contains(r.Handles, p.handle) {
			b.drop(p)
		}
	}
}

// HandleFreed takes in that endpoints have given up results: their room is free.
func (b *Batcher) HandleFreed(handles []message.ResultHandle) {
	services := value.NewSet[ident.Service]()
	for _, h := range handles {
		if k := b.unbook(h); k != nil {
			services.Add(k.service)
		}
	}
	for _, s := range services.Sorted() {
		b.Dispatch(s)
	}
}

func (b *Batcher) withdraw(r message.StageRelease) {
	q := b.queue(r.Service)
	q.waiting = slices.DeleteFunc(q.waiting, func(p *piece) bool { return p.id.Request == r.Request })
	for _, p := range slices.Clone(b.requests[r.Request]) {
		// A result that was reported is given back by its origin.
		if p.work.Service == r.Service {
			b.drop(p)
		}
	}
}

// EndpointAddress returns the maker's address in a handle.
func EndpointAddress(h message.ResultHandle) string {
	for i := 0; i < len(h); i++ {
		if h[i] == '/' {
			return string(h[:i])
		}
	}
	return string(h)
}

// makerAddress returns where a result lies.
func (b *Batcher) makerAddress(h message.ResultHandle) string {
	if k := b.bookings[h]; k != nil {
		return k.address
	}
	return EndpointAddress(h)
}

// unbook takes a result off the books and returns its booking, or nil.
func (b *Batcher) unbook(h message.ResultHandle) *booking {
	k := b.bookings[h]
	if k == nil {
		return nil
	}
	delete(b.bookings, h)
	b.config.Timers.Stop(k.expiry)
	b.maker(k.endpoint).booked -= k.bytes
	return k
}

func (b *Batcher) free(h message.ResultHandle) {
	b.config.Output.FreeResults(b.makerAddress(h), []message.ResultHandle{h})
}

func (b *Batcher) report(p *piece, outcome message.PieceOutcome) {
	b.config.Output.SendResults(p.work.origin, message.StageResults{Service: p.work.Service, Results: []message.PieceResult{{ID: p.id, Outcome: outcome, Handle: p.handle}}})
}

// Dispatch fills calls while there are pieces and free endpoints.
func (b *Batcher) Dispatch(s ident.Service) {
	q := b.queue(s)
	batches := b.config.BatchProfile(s)
	if batches == nil || len(q.waiting) == 0 || b.putOff(s, q) {
		return
	}
	b.order(s, q, batches)
	for len(q.waiting) > 0 {
		free, all := b.idle(s, batches)
		if len(free) == 0 {
			return
		}
		if b.lingers(s, q, batches, len(free), all) {
			return
		}
		if !b.fill(s, q, batches, free) {
			return
		}
	}
}

// putOff reports whether the pieces were put in order a moment ago: in a burst
// that takes most of the time, and a fuller call is worth the wait.
func (b *Batcher) putOff(s ident.Service, q *queue) bool {
	if q.pending != nil {
		return true
	}
	wait := q.ordered.Add(orderPause).Sub(b.now())
	if wait <= 0 {
		q.ordered = b.now()
		return false
	}
	q.pending = b.config.Timers.After(wait, func() {
		q.pending = nil
		b.Dispatch(s)
	})
	return true
}
