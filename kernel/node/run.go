package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/timer"
	"anvilcross/kernel/value"
)

// phase is the state of a run.
type phase int

const (
	// phaseRunning means that the stages run here.
	phaseRunning phase = iota
	// phaseFollowing means that the run waits for the answer of another
	// instance.
	phaseFollowing
	// phaseDone means that the run has its final answer.
	phaseDone
)

// ownership says why a run is the owner of its request, which it must be to
// dispatch a non-idempotent stage.
type ownership int

const (
	// unowned means that it is not the owner, or not yet.
	unowned ownership = iota
	// ownedByTicket means that this process issued the ticket or took it over.
	ownedByTicket
	// ownedByClaim means that a majority of the key's seats granted the claim
	// or, for a shared answer, promised the ballot; or that an idempotent
	// request was taken over because its holder is gone.
	ownedByClaim
)

// waiter is a caller, or another run of this node, that gets a run's answer.
type waiter struct {
	id     ident.WaiterID
	stream bool
	// notify is set for a waiter inside the node.
	notify func(outcome.Answer)
	// sentTokens counts the tokens that a streaming waiter has been sent.
	sentTokens int
}

// follower is an instance that waits for a run's answer.
type follower struct {
	instance ident.Instance
	holder   claim.Holder
}

// run is the state of one request at this instance.
type run struct {
	key        ident.Key
	submission message.Submission
	digest     ident.Digest
	pipeline   *configuration.Pipeline
	idempotent bool
	waiters    []waiter
	followers  []follower
	phase      phase
	ownership  ownership
	// producesSharedAnswer is set for the run that produces the one answer of
	// equal requests, awaitsSharedAnswer for a request that waits for it.
	producesSharedAnswer bool
	awaitsSharedAnswer   bool
	// collectOnly is set when the caller only asks for an answer.
	collectOnly bool
	// refusal is the reason to refuse the request. The caller gets it only once
	// it is known that no earlier sending runs.
	refusal outcome.Reason
	// admitted is set while the run counts against the admission limits.
	admitted bool
	// adopted is set when the answer was produced by another instance.
	adopted bool
	// nonIdempotentSent is set before a non-idempotent stage is sent, and
	// cleared when it is proved that nothing ran.
	nonIdempotentSent bool

	startedAt time.Time
	deadline  time.Time
	// finalDeadline is the deadline plus maxLateness.
	finalDeadline  time.Time
	deadlineTimers []*timer.Timer

	// stageIndex is the index of the stage that runs or comes next.
	stageIndex    int
	results       []outcome.StageResult
	currentResult outcome.StageResult
	// tokens are those received of the latest stage that streams.
	tokens []string
	// streamStageIndex is the index of the stage whose tokens the caller gets,
	// -1 if there is none.
	streamStageIndex int
	failedEndpoints  value.Set[ident.Endpoint]
	call             *call
	retryTimer       *timer.Timer

	claim        claimState
	follow       followState
	sharedAnswer sharedAnswerState
	answer       outcome.Answer
}

// claimState is the progress of a run's claim.
type claimState struct {
	group  []ident.Instance
	tally  *claim.Tally
	holder claim.Holder
	// mayBeHeld is set while seats may hold the key for this attempt.
	mayBeHeld      bool
	startedAt      time.Time
	resendInterval time.Duration
	timer          *timer.Timer
	retries        int
	// settleSends counts the rounds of settle messages; acknowledgedBy holds
	// the seats that acknowledged one.
	settleSends    int
	acknowledgedBy value.Set[ident.Instance]
}

// followState is the progress of a run that waits for another instance.
type followState struct {
	// target is the instance to ask: the holder, or the successor that owns
	// the holder's tickets.
	target      ident.Instance
	holder      claim.Holder
	lastHeardAt time.Time
	timer       *timer.Timer
	// forward is set when the run is a ticket's submission that its owner has
	// to run.
	forward *message.Forward
	// holderReplaced is set when the holder's process was replaced. Votes that
	// are still to come may bring its answer.
	holderReplaced bool
}

func (n *Node) newRun(s message.Submission, p *configuration.Pipeline) *run {
	now := n.now()
	r := &run{
		key:             s.Key,
		submission:      s,
		digest:          s.Digest(),
		pipeline:        p,
		idempotent:      p.Idempotent(),
		startedAt:       now,
		deadline:        now.Add(p.DeadlineMillis.Duration()),
		failedEndpoints: value.NewSet[ident.Endpoint](),
	}
	r.streamStageIndex = n.streamStageIndex(p)
	r.finalDeadline = r.deadline.Add(maxLateness)
	n.restorePartial(r)
	return r
}

// startDeadlineTimers starts the timers for the deadline and the final
// deadline of a run.
func (n *Node) startDeadlineTimers(r *run) {
	now := n.now()
	r.deadlineTimers = append(r.deadlineTimers, n.timers.After(r.deadline.Sub(now), func() { n.handleDeadline(r) }))
	r.deadlineTimers = append(r.deadlineTimers, n.timers.After(r.finalDeadline.Sub(now), func() { n.abort(r, outcome.DeadlinePassed) }))
}

// handleDeadline ends a run whose pipeline drops late answers, and a
// non-idempotent one whose claim is unconfirmed: more waiting would only keep
// the caller from asking what became of the request.
func (n *Node) handleDeadline(r *run) {
	unconfirmed := r.phase == phaseRunning && !r.isOwned() && !r.idempotent
	if unconfirmed || r.pipeline.LateAnswer == configuration.DropLate {
		n.abort(r, outcome.DeadlinePassed)
	}
}

func (n *Node) stopTimers(r *run) {
	for _, t := range r.deadlineTimers {
		n.timers.Stop(t)
	}
	r.deadlineTimers = nil
	n.timers.Stop(r.retryTimer)
	n.timers.Stop(r.claim.timer)
	n.timers.Stop(r.follow.timer)
}

func (r *run) isOwned() bool { return r.ownership != unowned }

// addWaiter adds a waiter. One that streams gets the tokens received so far at
// once.
func (n *Node) addWaiter(r *run, w waiter) {
	if r.phase == phaseDone {
		n.reply(w, r)
		return
	}
	r.waiters = append(r.waiters, w)
	n.streamTokens(r)
}

// streamTokens sends the tokens that streaming waiters have not got yet.
// Callers get the tokens of the last stage that streams.
func (n *Node) streamTokens(r *run) {
	if r.stageIndex < r.streamStageIndex {
		return
	}
	for i := range r.waiters {
		w := &r.waiters[i]
		if !w.stream {
			continue
		}
		for ; w.sentTokens < len(r.tokens); w.sentTokens++ {
			n.out.SendToken(w.id, w.sentTokens, r.tokens[w.sentTokens])
		}
	}
}
