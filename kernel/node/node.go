// Package node is the kernel of an entry instance. It takes every decision
// about requests, ownership, routing, recovery and configuration, and is free
// of sockets, goroutines and clocks, so that the daemon and the fault matrix
// run the same code. Events arrive as method calls, which the owner
// serializes; effects leave through the functions in Output; Config.Timers is
// the only source of time.
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
	"anvilcross/kernel/retry"
	"anvilcross/kernel/route"
	"anvilcross/kernel/sharedanswer"
	"anvilcross/kernel/timer"
)

// Output holds the effects of the kernel. The functions must not block and
// must not call back into the node.
type Output struct {
	// StartCall starts a call to an endpoint. The owner reports its tokens to
	// HandleToken, and its end to HandleCallResult or HandleCallFailure.
	StartCall func(Call)
	// CancelCall cancels a call whose result is no longer needed.
	CancelCall func(ident.CallID)
	// SendAnswer sends a caller its answer. It is the last effect for the
	// waiter.
	SendAnswer func(ident.WaiterID, outcome.Answer)
	// SendToken sends a streaming caller the next token of its answer. The
	// index counts from 0.
	SendToken func(w ident.WaiterID, index int, token string)
	// SendToPeer sends a message to another instance.
	SendToPeer func(message.Envelope)
	// LogEvent writes an event to the log.
	LogEvent func(Event)
}

// Event is one log event.
type Event struct {
	Name   string
	Key    ident.Key
	Detail string
	// Count is a number whose meaning depends on the event, such as the
	// revision of a "configured" event.
	Count int64
}

// Bounds limit the tables of a node: runs, admitted requests, claim records,
// endpoint crashes and shared answers by number, and the texts of a stored
// answer in bytes.
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

// Config holds the settings and dependencies of a Node.
type Config struct {
	Seat        ident.Instance
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Random      *rand.Rand
	Timers      *timer.Scheduler
	// TicketKey signs tickets; all instances of a deployment share it.
	TicketKey []byte
	// Policy names the routing policy; an unknown name selects "least".
	Policy string
	// Bounds is DefaultBounds if it is zero.
	Bounds Bounds
	Rules  SafetyRules
	Output Output
}

// Durations and limits of the kernel's protocols. No duration depends on the
// size of the fleet.
const (
	claimResendInterval    = 40 * time.Millisecond
	maxClaimResendInterval = 500 * time.Millisecond
	// claimGrace is the time since the start of an idempotent request after
	// which it no longer waits for its claim. The first stage of a first sending
	// starts at once; the first stage of a resend and all later stages wait for
	// the claim until then.
	claimGrace   = 50 * time.Millisecond
	followPeriod = 250 * time.Millisecond
	// holderSilenceTimeout is how long a holder may be silent before it counts
	// as unreachable.
	holderSilenceTimeout = 2 * time.Second
	settleResendInterval = 200 * time.Millisecond
	maxSettleSends       = 5
	// maxLateness is how long after its deadline a request may still be
	// answered.
	maxLateness    = 30 * time.Second
	registerPeriod = 200 * time.Millisecond
	// maxSyncWait is how long a new process waits for the records of all other
	// seats and for a peer to confirm its revision; after that it is ready
	// without them.
	maxSyncWait = 3 * time.Second
	// pauseThreshold is the gap between two timer calls after which a process
	// must assume that it was paused long enough to have been replaced.
	pauseThreshold = 2 * time.Second
	// endpointRetryDelay is the delay before a run without a usable endpoint
	// looks for one again.
	endpointRetryDelay = 100 * time.Millisecond
	// streamStallTimeout is the longest pause between two tokens of a stream.
	streamStallTimeout     = time.Second
	maxStageAttempts       = 4
	maxClaimRetries        = 8
	crashRetention         = 10 * time.Minute
	quarantineAfterCrashes = 3
	// suspectBackoff is how long content waits after its second crash: long
	// enough for normal content that was blamed with it to finish in isolation.
	suspectBackoff    = 1500 * time.Millisecond
	retriesPerSuccess = 0.1
	maxSavedRetries   = 20
	burstSeconds      = 2
	// maxBurnSeries bounds the pipelines, workspaces and stages whose good and
	// bad events are counted; a series takes 2.7 KB.
	maxBurnSeries = 1_000
)

// Node is the kernel of one instance.
type Node struct {
	config         Config
	rules          SafetyRules
	out            Output
	timers         *timer.Scheduler
	policy         *route.Policy
	document       *configuration.Document
	documentDigest string
	// previousDocuments are the last configurations that were in force before,
	// newest last.
	previousDocuments []previousDocument
	voter             *claim.Voter
	sharedAnswers     *sharedanswer.Table
	directory         *route.Directory
	blame             *blame.Table
	retryBudget       *retry.Budget
	admission         *limit.Admission
	startedAt         time.Time

	runs map[ident.Key]*run
	// collectRuns holds the runs that only ask for an answer.
	collectRuns map[ident.Key]*run
	// finishedRuns holds the retained runs in the order in which they
	// finished.
	finishedRuns  []*run
	runsByAttempt map[uint64]*run
	// abandonedAttempts holds the claim attempts that were released, and when.
	abandonedAttempts map[uint64]time.Time
	partialResults    partialResultTable
	calls             map[ident.CallID]*call
	// isolatedCalls counts, by service, the calls in flight that run suspect
	// content.
	isolatedCalls map[ident.Service]int
	lastAttempt   uint64
	lastCallID    ident.CallID

	tickets ticketTable
	// retired is set once the hand-over has begun: this process no longer
	// votes, registers or runs requests.
	retired          bool
	draining         bool
	lastPauseCheckAt time.Time
	// revisionConfirmed is set once a peer has confirmed the revision in
	// force, or there is no peer.
	revisionConfirmed bool
	handOver          *handOver
	receivedHandOvers map[issuer]*receivedHandOver
	lastHeardAt       map[ident.Instance]time.Time
	peers             []ident.Instance
	counters          Counters
	burn              *burn.EventCounter
	stageCosts        stageCostTable
}

// NewNode returns a node without a configuration. It becomes ready once it has
// one and its seat has synced with the others, or has waited maxSyncWait for
// them.
func NewNode(c Config) *Node {
	if c.Bounds == (Bounds{}) {
		c.Bounds = DefaultBounds()
	}
	policy := route.Lookup(c.Policy)
	if policy == nil {
		policy = route.Lookup("least")
	}
	n := &Node{
		config:            c,
		rules:             c.Rules.withDefaults(),
		out:               c.Output,
		timers:            c.Timers,
		policy:            policy,
		directory:         route.NewDirectory(),
		startedAt:         c.Timers.Now(),
		runs:              map[ident.Key]*run{},
		receivedHandOvers: map[issuer]*receivedHandOver{},
		lastHeardAt:       map[ident.Instance]time.Time{},
		collectRuns:       map[ident.Key]*run{},
		runsByAttempt:     map[uint64]*run{},
		abandonedAttempts: map[uint64]time.Time{},
		calls:             map[ident.CallID]*call{},
		isolatedCalls:     map[ident.Service]int{},
		blame:             blame.NewTable(blame.Config{Retention: crashRetention, MaxCrashes: c.Bounds.MaxCrashes, PoisonCrashes: quarantineAfterCrashes, Backoff: suspectBackoff}),
		retryBudget:       retry.NewBudget(retry.Config{RetriesPerSuccess: retriesPerSuccess, Capacity: maxSavedRetries}),
		admission:         limit.NewAdmission(limit.Config{MaxInFlight: c.Bounds.MaxInFlight, BurstSeconds: burstSeconds}),
		tickets:           newTicketTable(c),
	}
	n.voter = claim.NewVoter(claim.VoterConfig{
		Seat:           c.Seat,
		Incarnation:    c.Incarnation,
		Start:          n.startedAt,
		MaxRecords:     c.Bounds.MaxClaims,
		MaxAnswerBytes: c.Bounds.MaxAnswerBytes,
	})
	n.sharedAnswers = sharedanswer.NewTable(sharedanswer.Config{MaxEntries: c.Bounds.MaxSharedAnswers})
	n.burn = burn.NewEventCounter(burn.Config{MaxSeries: maxBurnSeries, Start: n.startedAt})
	n.timers.Every(registerPeriod, n.registerWithSeats)
	n.timers.Every(gossipPeriod, n.gossipRevision)
	n.timers.Every(expiryPeriod, n.dropExpired)
	n.lastPauseCheckAt = n.startedAt
	n.timers.Every(registerPeriod, n.detectPause)
	return n
}

// Ready reports whether the node should get callers' requests.
func (n *Node) Ready() bool {
	if n.document == nil || n.retired || n.draining {
		return false
	}
	now := n.now()
	syncWaitOver := now.Sub(n.startedAt) >= maxSyncWait
	if !syncWaitOver && (!n.revisionConfirmed || len(n.voter.UnsyncedSeats()) > 0) {
		return false
	}
	// A seat whose records do not reach back far enough cannot rule out that
	// an id was first sent before they begin. Clocks may be off by the skew in
	// either direction.
	return now.Sub(n.voter.CompleteSince()) >= 2*n.document.ClockSkewMillis.Duration()
}

// detectPause registers the seat again after a pause, because the process may
// have been replaced meanwhile.
func (n *Node) detectPause() {
	gap := n.now().Sub(n.lastPauseCheckAt)
	n.lastPauseCheckAt = n.now()
	if gap < pauseThreshold || n.document == nil {
		return
	}
	n.logEvent("paused", ident.Key{}, gap.String())
	n.voter.Reconfirm()
	n.registerWithSeats()
}

// Document returns the configuration in force, or nil.
func (n *Node) Document() *configuration.Document { return n.document }

// Endpoints returns the endpoint directory, for reports.
func (n *Node) Endpoints() *route.Directory { return n.directory }

func (n *Node) now() time.Time { return n.timers.Now() }

func (n *Node) logEvent(name string, key ident.Key, detail string) {
	if n.out.LogEvent != nil {
		n.out.LogEvent(Event{Name: name, Key: key, Detail: detail})
	}
}

// send sends a message to a seat. A message to this instance's own seat is
// handled at once.
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

// HandleMessage handles a message from another instance, or from this instance
// to its own seat.
func (n *Node) HandleMessage(m message.Envelope) {
	n.lastHeardAt[m.From] = n.now()
	switch {
	case m.Claim != nil:
		n.handleClaim(m.From, *m.Claim)
	case m.Vote != nil:
		n.handleVote(*m.Vote)
	case m.Release != nil:
		n.voter.Release(m.Release.Key, m.Release.Holder)
	case m.Settle != nil:
		n.handleSettle(m.From, *m.Settle)
	case m.SettleAck != nil:
		n.handleSettleAck(m.From, *m.SettleAck)
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
		n.handleFollowReply(*m.FollowReply)
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
		n.handleHandOverAck(m.From, *m.HandOverAck)
	case m.Successor != nil:
		n.handleSuccessor(*m.Successor)
	}
}
