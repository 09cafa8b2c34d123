// Package batching groups pieces of stage work into calls to stage endpoints.
// An endpoint works on one call at a time, a call can carry many pieces, and
// each call has a fixed overhead. All instances therefore send the pieces of a
// service to one instance, the batcher of its pool. The batcher tracks which
// endpoints are idle and how much result capacity each has left, fills calls
// by urgency, and retries pieces whose endpoint failed.
package batching

import (
	"maps"
	"slices"
	"time"

	"anvilcross/kernel/admission"
	"anvilcross/kernel/endpoints"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/published"
	"anvilcross/kernel/timer"
)

// CallID identifies one call to a stage endpoint.
type CallID uint64

// Item is one piece in a call.
type Item struct {
	ID message.PieceID
	// Remaining is the time left until the piece's deadline.
	Remaining time.Duration
	PieceKey  string
	Inputs    []message.ResultHandle
}

// Call is a request to an endpoint to compute a batch of pieces.
type Call struct {
	ID       CallID
	Endpoint ident.Endpoint
	Address  string
	Items    []Item
	// Timeout bounds the duration of the call.
	Timeout time.Duration
}

// Reply holds the outcomes of a call's items, in the order of the items.
type Reply struct {
	Items []ReplyItem
}

// ReplyItem is the outcome of one item. Handle is set if Outcome is ItemDone.
type ReplyItem struct {
	Handle  message.ResultHandle
	Outcome ItemOutcome
}

// ItemOutcome tells whether an endpoint computed a piece, and if not, why.
type ItemOutcome int

// The outcomes of items.
const (
	// ItemDone means that the endpoint holds the result.
	ItemDone ItemOutcome = iota
	// ItemExpired means that the piece's deadline passed before its turn came.
	ItemExpired
	// ItemInputGone means that an input no longer exists.
	ItemInputGone
	// ItemNoCapacity means that the endpoint has no capacity left for the
	// result.
	ItemNoCapacity
	// ItemFailed means that the endpoint reported an error for the piece.
	ItemFailed
)

// CallFailure is the way in which a whole call failed.
type CallFailure int

// The failures of calls.
const (
	// NotSent means that no byte of the call was written to the endpoint.
	NotSent CallFailure = iota
	// Declined means that a full endpoint declined the call.
	Declined
	// Replaced means that another endpoint now has the address.
	Replaced
	// Broken means that the call was sent but brought no usable reply.
	Broken
)

// String returns the failure's name for logs.
func (f CallFailure) String() string {
	return [...]string{"unreached", "declined", "replaced", "broken"}[f]
}

// Output holds the functions through which the batcher acts on endpoints and
// other instances.
type Output struct {
	StartCall   func(Call)
	FreeResults func(address string, handles []message.ResultHandle)
	// InspectEndpoint asks an endpoint, given with its address, for its free
	// result capacity. The report arrives through HandleInspection.
	InspectEndpoint   func(ident.Endpoint, string)
	SendResults       func(to ident.Instance, r message.StageResults)
	SendInputsFetched func(to ident.Instance, f message.StageInputsFetched)
	// SuspectEndpoint is called when a call to an endpoint brought no reply.
	SuspectEndpoint func(*endpoints.Endpoint)
	LogEvent        func(name string, fields ...any)
}

// Config configures a Batcher.
type Config struct {
	Timers    *timer.Scheduler
	Directory *endpoints.Directory
	// BatchProfile returns the batching parameters of a service's endpoints,
	// or nil if they are no stage endpoints.
	BatchProfile func(ident.Service) *published.BatchProfile
	// QueueWait returns the estimated wait in the queue of a pool, which may
	// have its batcher on another instance.
	QueueWait func(ident.Pool) time.Duration
	// MayCall reports whether a call may be sent now to an endpoint, which may have a
	// rate limit. If not, it has the pool dispatched again once a call may be sent.
	// The result holds until the next event.
	MayCall func(*endpoints.Endpoint, ident.Pool) bool
	// PipelineAdmission reports whether whole requests are admitted at their first stage, by
	// the account of later stages (kernel/admission). If it is nil or false, each stage
	// decides for itself.
	PipelineAdmission func() bool
	// CallTimeRatio returns how long the calls of a pool take at present, relative to their
	// expected time; zero if that is unknown.
	CallTimeRatio func(ident.Pool) float64
	Output        Output
}

const (
	// lingerTime is how long a call that is less than half full waits for more
	// pieces: a third of the call overhead.
	lingerTime = 80 * time.Millisecond
	// minOrderInterval is the minimum time between two sorts of a pool's
	// queue: small compared to a call.
	minOrderInterval = 8 * time.Millisecond
	// declinedBackoff is how long a full endpoint gets no calls: about half of
	// the call overhead.
	declinedBackoff = 120 * time.Millisecond
	// A call is overdue after overdueFactor times its expected time plus
	// overdueSlack. Its pieces are then sent to other endpoints as well.
	overdueFactor = 1.6
	overdueSlack  = 200 * time.Millisecond
	// maxTimerDelay is the delay of the overdue timer above which this process must have
	// been paused. Replies that arrived meanwhile are read within unreadReplyTime.
	maxTimerDelay   = 50 * time.Millisecond
	unreadReplyTime = 100 * time.Millisecond
	// callTimeoutFactor is the ratio of a call's timeout to its expected time.
	callTimeoutFactor = 8
	// slowLatencyRatio is the ratio of actual to expected call time above which
	// an endpoint only gets calls of one piece, one every probeInterval.
	slowLatencyRatio = 2.5
	probeInterval    = 1500 * time.Millisecond
	// latencyRatioWeight is the weight of a new sample in the moving average of
	// an endpoint's latency ratio.
	latencyRatioWeight = 0.4
	// maxAttempts bounds the calls in which one piece is tried.
	maxAttempts = 6
	// maxWaitingPieces bounds the queue of one pool.
	maxWaitingPieces = 20000
	// largeTransferBytes is the traffic between data centres that justifies
	// moving a piece to another endpoint.
	largeTransferBytes = 200_000
	// localityDelay is how much delay of a piece is accepted to save
	// largeTransferBytes of traffic between data centres. The total is limited
	// to maxLocalityDelay, a third of a call.
	localityDelay    = 40 * time.Millisecond
	maxLocalityDelay = 150 * time.Millisecond
	// crossTrafficWeight is the score that an idle endpoint loses for each
	// largeTransferBytes of traffic between data centres. An entirely free
	// result capacity scores 1.
	crossTrafficWeight = 0.5
	// inspectInterval is the minimum time between two inspections of an endpoint
	// without result capacity: its reports are about 100 ms old.
	inspectInterval = 300 * time.Millisecond
	// surveyInterval is the time between two inspections of an endpoint that has
	// results of an earlier batcher, less than inspectInterval, for which a report
	// is valid.
	surveyInterval = 250 * time.Millisecond
	// rateBuckets and rateBucketWidth define the window over which started
	// pieces are counted.
	rateBuckets     = 10
	rateBucketWidth = 150 * time.Millisecond
	// maxDownstreamWait is the queue wait at a later stage above which requests
	// of the lowest weight do not start. A weight of 1 adds extraDownstreamWait.
	maxDownstreamWait   = 350 * time.Millisecond
	extraDownstreamWait = 450 * time.Millisecond
	// maxLateDownstreamWait is the same limit for requests that are already
	// late: they start only when they delay no others.
	maxLateDownstreamWait = 100 * time.Millisecond
	// lowCapacityShare is the reserved share of an endpoint's result capacity
	// above which results are freed early: the rest holds less than the results
	// of a full call.
	lowCapacityShare = 0.5
	// inputFetchTime is how long after the start of a call its inputs count as
	// fetched: transferring the inputs of a full call takes about 20 ms.
	inputFetchTime = 70 * time.Millisecond
	// usableCapacityShare is the share of an endpoint's result capacity that may
	// be reserved. Result sizes are approximate, and a piece whose result does
	// not fit wastes a whole call and often loses its inputs.
	usableCapacityShare = 0.93
	// retentionMargin is added to an endpoint's result retention before the
	// capacity of a result that nobody freed counts as free, to allow for
	// network delay.
	retentionMargin = 300 * time.Millisecond
)

// pieceState is the progress of a piece.
type pieceState int

const (
	pieceWaiting pieceState = iota
	pieceRunning
	pieceDone
)

// work is submitted work for one stage of a request, with absolute times.
type work struct {
	message.StageWork
	origin ident.Instance
	// dueAt is when the pieces have to be done for the request to be on time,
	// deadline when they are of no use any more. The gateway derives them from
	// dueAt and abandonAt of its request.
	dueAt      time.Time
	deadline   time.Time
	receivedAt time.Time
	inputSizes inputSizes
}

// piece is a submitted piece and its progress.
type piece struct {
	// work is the latest submission of the piece.
	work  *work
	id    message.PieceID
	state pieceState
	// attempts counts the calls that included the piece, without those that were
	// not sent, were declined or found no capacity for its result.
	attempts int
	// runningCalls is above 1 while an overdue call and a later one both run.
	runningCalls int
	// submittedAt is when the piece was first submitted.
	submittedAt time.Time
	// rank is the sort key from the last ordering of the queue. For a piece that
	// meets its target it is the time until the target. Otherwise it is no time but
	// a marker behind all of those: missedTargetRank plus one millisecond for each
	// place in missesTarget, or heldRank for a piece that is held back.
	rank time.Duration
	// late is set when the request's due time can no longer be met.
	late bool
	// handle is set once the piece is done.
	handle message.ResultHandle
	// withdrawn is set while the inputs of a running piece do not exist any more.
	withdrawn bool
}

// reservation is the capacity that one result takes at its endpoint.
type reservation struct {
	pool        ident.Pool
	bytes       int
	endpoint    ident.Endpoint
	expiryTimer *timer.Timer
	address     string
}

// call is a running call.
type call struct {
	id       CallID
	pool     ident.Pool
	endpoint ident.Endpoint
	address  string
	pieces   []*piece
	// works holds the submission of each piece when the call began.
	works        []*work
	startedAt    time.Time
	expectedTime time.Duration
	// overdueAt is when overdueTimer is due.
	overdueAt    time.Time
	overdueTimer *timer.Timer
}

// endpointState is what the batcher knows about one stage endpoint.
type endpointState struct {
	runningCalls  int
	reservedBytes int
	latencyRatio  float64
	// lastRatio is the ratio of the actual to the expected time of the last call with a
	// reply; zero if there was none.
	lastRatio   float64
	pausedUntil time.Time
	lastCallAt  time.Time
	// unaccountedBytes is capacity taken by results without a reservation here,
	// such as those of calls from another batcher. It counts until
	// unaccountedUntil.
	unaccountedBytes int
	unaccountedUntil time.Time
	inspectedAt      time.Time
}

// freeBytes returns the estimated free result capacity. It can be negative.
func (es *endpointState) freeBytes(now time.Time, profile *published.BatchProfile) int {
	free := int(usableCapacityShare*float64(profile.ResultCapacityBytes)) - es.reservedBytes
	if now.Before(es.unaccountedUntil) {
		free -= es.unaccountedBytes
	}
	return free
}

// queue holds the waiting pieces of one pool.
type queue struct {
	waiting     []*piece
	lingerTimer *timer.Timer
	// orderedAt is when the queue was last sorted. orderTimer is set while the
	// next dispatch is deferred.
	orderedAt  time.Time
	orderTimer *timer.Timer
	// refusedCount counts refused requests, the last of which is lastRefusedID.
	refusedCount  int
	lastRefusedID ident.RequestID
	// startedPerBucket counts started pieces in a ring of time buckets. bucket is
	// the number of the latest one since the Unix epoch.
	startedPerBucket [rateBuckets]int
	bucket           int64
	// candidates holds the requests that no piece has been started of, from the last
	// ordering. heldTimer is set while one of them waits to be decided on again.
	candidates map[ident.RequestID]*admission.Request
	heldTimer  *timer.Timer
	// emptiedAt is when a dispatch last left no piece that may start.
	emptiedAt time.Time
}

// Batcher queues the pieces of the pools that this instance batches for and
// sends them to endpoints in calls. It is not safe for concurrent use.
type Batcher struct {
	config         Config
	queues         map[ident.Pool]*queue
	pieces         map[message.PieceID]*piece
	requests       map[ident.RequestID][]*piece
	calls          map[CallID]*call
	endpointStates map[ident.Endpoint]*endpointState
	reservations   map[message.ResultHandle]*reservation
	lastCallID     CallID
	stats          Stats
	admission      *admission.Controller
}

// Stats are counts since the batcher was created. Calls, Declined, Broken and
// Overdue count calls, the others pieces. Broken includes all failed calls that
// were not declined.
type Stats struct {
	Calls, Pieces, Declined, Broken, Overdue, NoCapacity, InputGone, Expired, Refused, Duplicates int
}

// NewBatcher returns a batcher with empty queues.
func NewBatcher(c Config) *Batcher {
	b := &Batcher{
		config:         c,
		queues:         map[ident.Pool]*queue{},
		pieces:         map[message.PieceID]*piece{},
		requests:       map[ident.RequestID][]*piece{},
		calls:          map[CallID]*call{},
		endpointStates: map[ident.Endpoint]*endpointState{},
		reservations:   map[message.ResultHandle]*reservation{},
	}
	b.admission = admission.NewController(admission.Config{Capacity: b.capacityOf, ReportedWait: b.reportedWait, ExtraCallTime: b.extraCallTime})
	return b
}

// Stats returns the current counts.
func (b *Batcher) Stats() Stats { return b.stats }

// WaitingCount returns the number of pieces in a pool's queue.
func (b *Batcher) WaitingCount(pool ident.Pool) int {
	if q := b.queues[pool]; q != nil {
		return len(q.waiting)
	}
	return 0
}

func (b *Batcher) now() time.Time { return b.config.Timers.Now() }

func (b *Batcher) queue(pool ident.Pool) *queue {
	q := b.queues[pool]
	if q == nil {
		q = &queue{}
		b.queues[pool] = q
	}
	return q
}

func (b *Batcher) endpointState(e ident.Endpoint) *endpointState {
	es := b.endpointStates[e]
	if es == nil {
		es = &endpointState{latencyRatio: 1}
		b.endpointStates[e] = es
	}
	return es
}

// ForgetUnlisted drops what is kept of endpoints that are not listed any more, once they have
// neither calls nor results.
func (b *Batcher) ForgetUnlisted() {
	maps.DeleteFunc(b.endpointStates, func(e ident.Endpoint, es *endpointState) bool {
		return es.runningCalls == 0 && es.reservedBytes == 0 && b.config.Directory.Lookup(e) == nil
	})
}

// RunningCalls returns the number of calls that run at an endpoint.
func (b *Batcher) RunningCalls(e ident.Endpoint) int {
	if es := b.endpointStates[e]; es != nil {
		return es.runningCalls
	}
	return 0
}

// EndpointCount returns the number of endpoints of which the batcher keeps a state.
func (b *Batcher) EndpointCount() int { return len(b.endpointStates) }

// Submit queues the pieces of a request's stage. Submitting the same pieces
// again is safe: a piece that is done is reported again, unless the work asks
// to recompute it, and no piece is queued twice.
func (b *Batcher) Submit(from ident.Instance, s message.StageWork) {
	now := b.now()
	w := &work{StageWork: s, origin: from, dueAt: now.Add(s.TimeToDue), deadline: now.Add(s.TimeToDeadline), receivedAt: now, inputSizes: b.inputSizesOf(s)}
	q := b.queue(s.Pool())
	for _, index := range s.Pieces {
		id := message.PieceID{Request: s.Request, Stage: s.Stage, Piece: index}
		if p := b.pieces[id]; p != nil && p.state == pieceDone && isLost(s, p.handle) {
			b.freeResult(p.handle)
			b.drop(p)
		}
		if p := b.pieces[id]; p != nil {
			p.work, p.withdrawn = w, false
			if p.state == pieceDone {
				b.reportOutcome(p, message.PieceDone)
			}
			continue
		}
		p := &piece{work: w, id: id, submittedAt: now}
		if s.InputsReleased {
			b.reportOutcome(p, message.PieceInputGone)
			continue
		}
		if len(q.waiting) >= maxWaitingPieces {
			b.reportOutcome(p, message.PieceFailed)
			continue
		}
		b.pieces[id] = p
		b.requests[id.Request] = append(b.requests[id.Request], p)
		q.waiting = append(q.waiting, p)
	}
	b.Dispatch(s.Pool())
}

// isLost reports whether work says that a result is lost.
func isLost(s message.StageWork, h message.ResultHandle) bool {
	return s.Recompute || slices.Contains(s.Lost, h)
}

// drop removes a piece from the batcher's indexes, but not from its queue.
func (b *Batcher) drop(p *piece) {
	if b.pieces[p.id] != p {
		return
	}
	delete(b.pieces, p.id)
	others := slices.DeleteFunc(b.requests[p.id.Request], func(o *piece) bool { return o == p })
	if len(others) == 0 {
		delete(b.requests, p.id.Request)
		b.admission.Forget(p.id.Request)
		return
	}
	b.requests[p.id.Request] = others
}

// result returns the report on a piece.
func (p *piece) result(outcome message.PieceOutcome) message.PieceResult {
	r := message.PieceResult{ID: p.id, Outcome: outcome, Handle: p.handle}
	if outcome == message.PieceInputGone {
		r.InputsRevision = p.work.InputsRevision
	}
	return r
}

func (b *Batcher) reportOutcome(p *piece, outcome message.PieceOutcome) {
	b.config.Output.SendResults(p.work.origin, message.StageResults{Service: p.work.Service, Results: []message.PieceResult{p.result(outcome)}})
}
