// Package node is the kernel of an instance: every decision about requests,
// ownership, routing, recovery and configuration. It has no socket, goroutine
// or clock. Events come in through its methods, which its owner serializes;
// effects go out through the functions in Output; time comes from the timer
// service. The daemon and the fault matrix run the same kernel.
package node

import (
	"math/rand/v2"
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/burn"
	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/limit"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/remembered"
	"anvilcross/kernel/retry"
	"anvilcross/kernel/route"
	"anvilcross/kernel/timer"
)

// Output holds the effects of the kernel. The functions must not block and
// must not call back into the node.
type Output struct {
	// StartCall starts a call to an endpoint. Its end is reported by CallDone or
	// CallFailed, tokens before that by CallToken.
	StartCall func(Call)
	// CancelCall ends a call whose result is not wanted any more.
	CancelCall func(ident.CallID)
	// SendAnswer gives a caller its answer. It is the last effect for the waiter.
	SendAnswer func(ident.WaiterID, outcome.Answer)
	// SendToken gives a streaming caller the next token of its answer.
	SendToken func(w ident.WaiterID, index int, token string)
	// SendToPeer sends a message to another instance.
	SendToPeer func(message.Envelope)
	// LogEvent reports something worth a line in the log.
	LogEvent func(Event)
}

// Event is one line of the log.
type Event struct {
	Name   string
	Key    ident.Key
	Detail string
	// Count is an event-specific number.
	Count int64
}

// Bounds limit the tables of a node.
type Bounds struct {
	MaxRuns          int
	MaxInFlight      int
	MaxClaims        int
	MaxCrashes       int
	MaxSharedAnswers int
	MaxAnswerBytes   int
}

// DefaultBounds returns the bounds of a small entry instance.
func DefaultBounds() Bounds {
	return Bounds{MaxRuns: 50_000, MaxInFlight: 1_000, MaxClaims: 100_000, MaxCrashes: 1_000, MaxSharedAnswers: 20_000, MaxAnswerBytes: 32 << 10}
}

// Config sets up a Node.
type Config struct {
	Seat        ident.Instance
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Random      *rand.Rand
	Timers      *timer.Scheduler
	// TicketKey signs tickets; all instances of a deployment share it.
	TicketKey []byte
	// Policy names the routing policy.
	Policy string
	Bounds Bounds
	Rules  SafetyRules
	Output Output
}

// Durations of the kernel's own protocols. None depends on the fleet's size.
const (
	claimResend    = 40 * time.Millisecond
	claimResendMax = 500 * time.Millisecond
	// claimGrace is how long a pipeline without effects waits for its claim
	// before its second stage.
	claimGrace   = 50 * time.Millisecond
	followPeriod = 250 * time.Millisecond
	// followSilence is how long a holder may be silent before it counts as
	// out of reach.
	followSilence = 2 * time.Second
	settleResend  = 200 * time.Millisecond
	maxSettles    = 5
	// lateLimit is how long after its deadline work may still be delivered.
	lateLimit      = 30 * time.Second
	registerPeriod = 200 * time.Millisecond
	// bootWait is how long a fresh instance waits for all other seats before
	// it is ready without them.
	bootWait = 3 * time.Second
	// pauseNoticed is the gap between two timer calls that tells a process
	// that it was paused long enough to have been replaced.
	pauseNoticed = 2 * time.Second
	// waitForEndpoint is the pause before looking again for an endpoint.
	waitForEndpoint = 100 * time.Millisecond
	// stallLimit is the longest pause between two tokens of a stream.
	stallLimit    = time.Second
	maxAttempts   = 4
	maxReclaims   = 8
	blameKeep     = 10 * time.Minute
	guiltyCrashes = 3
	// blameRest is long enough for an innocent request to finish alone.
	blameRest    = 1500 * time.Millisecond
	retryShare   = 0.1
	retryReserve = 20
	burstSeconds = 2
	// maxSeries bounds the pipelines, workspaces and stages whose burn is
	// counted; a series takes 2.7 KB.
	maxSeries = 1_000
)

// Node is the kernel of one instance.
type Node struct {
	config   Config
	rules    SafetyRules
	out      Output
	timers   *timer.Scheduler
	policy   *route.Policy
	document *configuration.Document
	digest   string
	// earlier are the last documents that were in force, newest last.
	earlier    []keptDocument
	memory     *claim.Voter
	remembered *remembered.Table
	book       *route.Directory
	blame      *blame.Table
	retries    *retry.Budget
	admission  *limit.Admission
	started    time.Time

	runs       map[ident.Key]*run
	collects   map[ident.Key]*run
	finished   []*run
	attempts   map[uint64]*run
	abandoned  map[uint64]time.Time
	partials   partialTable
	calls      map[ident.CallID]*call
	suspects   map[ident.Service]int
	attempt    uint64
	callSerial ident.CallID

	tickets    ticketTable
	retired    bool
	draining   bool
	ticked     time.Time
	confirmed  bool
	handOver   *handOver
	legacies   map[issuer]*legacy
	heard      map[ident.Instance]time.Time
	peers      []ident.Instance
	counters   Counters
	burn       *burn.EventCounter
	recentCost costTable
}

// NewNode returns a node without configuration. It is ready once it has one
// and its seat has registered with the others.
func NewNode(c Config) *Node {
	if c.Bounds == (Bounds{}) {
		c.Bounds = DefaultBounds()
	}
	policy := route.Lookup(c.Policy)
	if policy == nil {
		policy = route.Lookup("least")
	}
	n := &Node{
		config:    c,
		rules:     c.Rules.withDefaults(),
		out:       c.Output,
		timers:    c.Timers,
		policy:    policy,
		book:      route.NewDirectory(),
		started:   c.Timers.Now(),
		runs:      map[ident.Key]*run{},
		legacies:  map[issuer]*legacy{},
		heard:     map[ident.Instance]time.Time{},
		collects:  map[ident.Key]*run{},
		attempts:  map[uint64]*run{},
		abandoned: map[uint64]time.Time{},
		calls:     map[ident.CallID]*call{},
		suspects:  map[ident.Service]int{},
		blame:     blame.NewTable(blame.Config{Retention: blameKeep, MaxCrashes: c.Bounds.MaxCrashes, PoisonCrashes: guiltyCrashes, Backoff: blameRest}),
		retries:   retry.NewBudget(retry.Config{RetriesPerSuccess: retryShare, Capacity: retryReserve}),
		admission: limit.NewAdmission(limit.Config{MaxInFlight: c.Bounds.MaxInFlight, BurstSeconds: burstSeconds}),
		tickets:   newTicketTable(c),
	}
	n.memory = claim.NewVoter(claim.VoterConfig{
		Seat:           c.Seat,
		Incarnation:    c.Incarnation,
		Start:          n.started,
		MaxRecords:     c.Bounds.MaxClaims,
		MaxAnswerBytes: c.Bounds.MaxAnswerBytes,
	})
	n.remembered = remembered.NewTable(remembered.Config{MaxEntries: c.Bounds.MaxSharedAnswers})
	n.burn = burn.NewEventCounter(burn.Config{MaxSeries: maxSeries, Start: n.started})
	n.timers.Every(registerPeriod, n.register)
	n.timers.Every(gossipPeriod, n.gossip)
	n.timers.Every(sweepPeriod, n.sweep)
	n.ticked = n.started
	n.timers.Every(registerPeriod, n.noticePause)
	return n
}

// Ready reports whether the node should get callers' requests.
func (n *Node) Ready() bool {
	if n.document == nil || n.retired || n.draining {
		return false
	}
	now := n.now()
	waited := now.Sub(n.started) >= bootWait
	if !waited && (!n.confirmed || len(n.memory.UnsyncedSeats()) > 0) {
		return false
	}
	// A seat whose memory is young cannot vouch for ids that were first sent
	// before it began, by a clock that may be off in either direction.
	return now.Sub(n.memory.CompleteSince()) >= 2*n.document.ClockSkewMillis.Duration()
}

// noticePause doubts the own seat after a pause.
func (n *Node) noticePause() {
	gap := n.now().Sub(n.ticked)
	n.ticked = n.now()
	if gap < pauseNoticed || n.document == nil {
		return
	}
	n.event("paused", ident.Key{}, gap.String())
	n.memory.Reconfirm()
	n.register()
}

// Document returns the configuration in force, or nil.
func (n *Node) Document() *configuration.Document { return n.document }

// Endpoints returns the endpoint book for reports.
func (n *Node) Endpoints() *route.Directory { return n.book }

func (n *Node) now() time.Time { return n.timers.Now() }

func (n *Node) event(name string, key ident.Key, detail string) {
	if n.out.LogEvent != nil {
		n.out.LogEvent(Event{Name: name, Key: key, Detail: detail})
	}
}

// send addresses a message. A message to the own seat is handled at once.
func (n *Node) send(to ident.Instance, m message.Envelope) {
	m.From = n.config.Seat
	m.Incarnation = n.config.Incarnation
	m.To = to
	if to == n.config.Seat {
		n.HandleMessage(m)
		return
	}
	n.counters.PeerMessages++
	n.out.SendToPeer(m)
}

// HandleMessage takes a message from another instance.
func (n *Node) HandleMessage(m message.Envelope) {
	n.heard[m.From] = n.now()
	switch {
	case m.Claim != nil:
		n.handleClaim(m.From, *m.Claim)
	case m.Vote != nil:
		n.handleVote(*m.Vote)
	case m.Release != nil:
		n.memory.Release(m.Release.Key, m.Release.Holder)
	case m.Settle != nil:
		n.handleSettle(m.From, *m.Settle)
	case m.SettleAck != nil:
		n.handleSettled(m.From, *m.SettleAck)
	case m.Prepare != nil:
		n.handlePrepare(m.From, *m.Prepare)
	case m.Promise != nil:
		n.handlePromise(*m.Promise)
	case m.Accept != nil:
		n.handleAccept(m.From, *m.Accept)
	case m.Accepted != nil:
		n.handleAccepted(*m.Accepted)
	case m.Register != nil:
		n.handleRegister(m.From, *m.Register)
	case m.Sync != nil:
		n.handleSync(*m.Sync)
	case m.Follow != nil:
		n.handleFollow(m.From, *m.Follow)
	case m.FollowReply != nil:
		n.handleFollowed(*m.FollowReply)
	case m.Forward != nil:
		n.handleForward(m.From, *m.Forward)
	case m.Blame != nil:
		n.handleBlame(*m.Blame)
	case m.Revision != nil:
		n.handleRevision(m.From, *m.Revision)
	case m.Configuration != nil:
		n.handleConfiguration(*m.Configuration)
	case m.HandOver != nil:
		n.handleHandOver(m.From, *m.HandOver)
	case m.HandOverAck != nil:
		n.handleHandedOver(m.From, *m.HandOverAck)
	case m.Successor != nil:
		n.handleSuccessor(*m.Successor)
	}
}
