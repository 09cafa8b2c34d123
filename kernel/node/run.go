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

// phase is what a run is doing.
type phase int

const (
	// working runs the stages here.
	working phase = iota
	// following waits for the answer of another instance.
	following
	// done has an answer.
	done
)

// ownership is the right to dispatch a non-idempotent stage.
type ownership int

const (
	// unowned has no right yet.
	unowned ownership = iota
	// ownedByTicket comes from a ticket that this process issued or took over.
	ownedByTicket
	// ownedByClaim comes from a majority of the key's seats.
	ownedByClaim
)

// waiter is somebody who gets the answer.
type waiter struct {
	id     ident.WaiterID
	stream bool
	// notify is set for a waiter inside the node.
	notify func(outcome.Answer)
	// sent counts the tokens that a streaming waiter has got.
	sent int
}

// follower is an instance that gets the answer.
type follower struct {
	instance ident.Instance
	holder   claim.Holder
}

// run is one request as this instance sees it.
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
	// shared is set for the run behind the one answer of equal look-ups, and
	// sharing for a run that waits for such an answer.
	shared  bool
	sharing bool
	// collecting is set when the caller only asks for an answer.
	collecting bool
	// shed is why the request is turned away once it is known that no
	// earlier sending of it runs.
	shed     outcome.Reason
	admitted bool
	// adopted is set when the answer was made by another instance.
	adopted bool
	// dispatched is set before a non-idempotent stage is sent.
	dispatched bool

	started  time.Time
	deadline time.Time
	limit    time.Time
	timers   []*timer.Timer

	// stage is the index of the stage that runs or comes next.
	stage   int
	results []outcome.StageResult
	current outcome.StageResult
	tokens  []string
	// streamStage is the index of the stage whose tokens the caller gets.
	streamStage int
	failed      value.Set[ident.Endpoint]
	call        *call
	retrying    *timer.Timer

	claim  claimState
	follow followState
	lookUp lookUpState
	answer outcome.Answer
}

// claimState is the progress of a run's claim.
type claimState struct {
	group  []ident.Instance
	tally  *claim.Tally
	holder claim.Holder
	// asked is set while seats may hold the key for this attempt.
	asked    bool
	since    time.Time
	pause    time.Duration
	timer    *timer.Timer
	reclaims int
	// settles counts the settle messages sent, and kept who confirmed.
	settles int
	kept    value.Set[ident.Instance]
}

// followState is the progress of a run that waits for another instance.
type followState struct {
	target ident.Instance
	holder claim.Holder
	heard  time.Time
	timer  *timer.Timer
	// forward is set for a ticket's submission.
	forward *message.Forward
	// gone is set when the holder was replaced; the votes still to come may
	// know its answer.
	gone bool
}

func (n *Node) newRun(s message.Submission, p *configuration.Pipeline) *run {
	now := n.now()
	r := &run{
		key:        s.Key,
		submission: s,
		digest:     s.Digest(),
		pipeline:   p,
		idempotent: p.Idempotent(),
		started:    now,
		deadline:   now.Add(p.DeadlineMillis.Duration()),
		failed:     value.NewSet[ident.Endpoint](),
	}
	r.streamStage = n.pipelineStreams(p)
	r.limit = r.deadline.Add(lateLimit)
	n.takePartial(r)
	return r
}

// watch arms the deadline and the limit of a run.
func (n *Node) watch(r *run) {
	now := n.now()
	r.timers = append(r.timers, n.timers.After(r.deadline.Sub(now), func() { n.atDeadline(r) }))
	r.timers = append(r.timers, n.timers.After(r.limit.Sub(now), func() { n.abort(r, outcome.DeadlinePassed) }))
}

// atDeadline ends what the pipeline does not want late, and a claim that
// nobody could confirm: more waiting would only keep the caller from asking
// what became of the request.
func (n *Node) atDeadline(r *run) {
	unconfirmed := r.phase == working && !r.owned() && !r.idempotent
	if unconfirmed || r.pipeline.LateAnswer == configuration.DropLate {
		n.abort(r, outcome.DeadlinePassed)
	}
}

func (n *Node) stopTimers(r *run) {
	for _, t := range r.timers {
		n.timers.Stop(t)
	}
	r.timers = nil
	n.timers.Stop(r.retrying)
	n.timers.Stop(r.claim.timer)
	n.timers.Stop(r.follow.timer)
}

func (r *run) owned() bool { return r.ownership != unowned }

// attach adds a waiter; one that streams first gets the tokens so far.
func (n *Node) attach(r *run, w waiter) {
	if r.phase == done {
		n.reply(w, r)
		return
	}
	r.waiters = append(r.waiters, w)
	n.pushTokens(r)
}

// pushTokens streams what has come. Callers get the tokens of the last stage
// that streams.
func (n *Node) pushTokens(r *run) {
	if r.stage < r.streamStage {
		return
	}
	for i := range r.waiters {
		w := &r.waiters[i]
		if !w.stream {
			continue
		}
		for ; w.sent < len(r.tokens); w.sent++ {
			n.out.SendToken(w.id, w.sent, r.tokens[w.sent])
		}
	}
}
