package node

import (
	"strings"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/stage"
	"anvilcross/kernel/value"
)

// expiryPeriod is how often expired runs are dropped.
const expiryPeriod = time.Second

// abort ends a run that cannot be finished. The outcome NotRun needs the sole
// right to run the request, or an idempotent request; in other cases an earlier
// sending may be running elsewhere.
func (n *Node) abort(r *run, reason outcome.Reason) {
	if r.phase == phaseDone {
		return
	}
	switch {
	case r.collectOnly:
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "those who would know are out of reach")
	case r.nonIdempotentSent:
		n.finish(r, outcome.Lost, outcome.ReplyLost, "a non-idempotent stage was dispatched before: "+string(reason))
	case r.phase == phaseRunning && (r.isOwned() || r.idempotent):
		n.finish(r, outcome.NotRun, reason, "")
	case r.phase == phaseFollowing && r.idempotent:
		n.finish(r, outcome.NotRun, reason, "")
	default:
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "it is not known whether an earlier sending ran: "+string(reason))
	}
}

// finish ends a run with an outcome reached here. A whole shared answer is
// first proposed to the voting group.
func (n *Node) finish(r *run, o outcome.Outcome, reason outcome.Reason, detail string) {
	if r.phase == phaseDone {
		return
	}
	a := outcome.Answer{ID: r.key.ID, Outcome: o, Reason: reason, Detail: detail, ServedBy: n.config.Seat}
	a.Stages = r.results
	a.Late = n.now().After(r.deadline)
	for i := range r.results {
		a.Cost.Add(r.results[i].Cost)
	}
	a.Cost.Add(r.currentResult.Cost)
	if o == outcome.Whole {
		a.Text = n.answerText(r)
		if r.producesSharedAnswer {
			n.propose(r, a)
			return
		}
	}
	n.conclude(r, a)
}

// conclude ends a run with its final answer, whether it was produced here or
// elsewhere, and sends the answer to the run's waiters and followers.
func (n *Node) conclude(r *run, a outcome.Answer) {
	n.counters.countOutcome(a.Outcome)
	if a.Late && a.Outcome == outcome.Whole {
		n.counters.Late++
	}
	n.cancelCall(r)
	r.phase = phaseDone
	r.answer = a
	n.recordRequestBurn(r)
	n.stopTimers(r)
	if r.admitted {
		n.admission.Release(r.key.Workspace)
		r.admitted = false
	}
	n.retainOrForget(r)
	for _, w := range r.waiters {
		n.reply(w, r)
	}
	for _, f := range r.followers {
		n.sendFinished(f, r)
	}
	r.waiters = nil
	r.followers = nil
}

// retainOrForget retains a whole answer, and any other answer of a
// non-idempotent request that this instance alone may run, as a tombstone.
// Other runs are forgotten: a run that does not own its request so that a later
// query is decided afresh, an idempotent one because it may simply be sent
// again.
func (n *Node) retainOrForget(r *run) {
	whole := r.answer.Outcome == outcome.Whole
	tombstone := r.isOwned() && !r.idempotent && n.rules.KeepTombstone()
	if r.collectOnly || !whole && !tombstone {
		n.retainPartial(r)
		n.releaseClaim(r)
		n.forget(r)
		return
	}
	n.finishedRuns = append(n.finishedRuns, r)
	// The answer holds the results, and the digest is enough to recognise the
	// body.
	r.submission.Body = ""
	r.results = nil
	r.failedEndpoints = nil
	switch {
	case r.producesSharedAnswer:
	case r.adopted:
		n.releaseClaim(r)
	default:
		n.settle(r)
	}
}

func (n *Node) forget(r *run) {
	delete(n.runsByAttempt, r.claim.holder.Attempt)
	if n.runs[r.key] == r {
		delete(n.runs, r.key)
	}
	if n.collectRuns[r.key] == r {
		delete(n.collectRuns, r.key)
	}
}

// dropExpired drops runs, partial results, hand-overs and abandoned attempts
// that are older than the resend horizon, plus their allowances for clock skew
// and late answers.
func (n *Node) dropExpired() {
	if n.document == nil {
		return
	}
	retention := n.resendHorizon() + n.document.ClockSkewMillis.Duration()
	now := n.now()
	i := 0
	for i < len(n.finishedRuns) && now.Sub(n.finishedRuns[i].startedAt) > retention+maxLateness {
		n.forget(n.finishedRuns[i])
		i++
	}
	n.finishedRuns = n.finishedRuns[i:]
	n.dropExpiredPartials()
	n.dropExpiredHandOvers(retention + maxLateness)
	for _, attempt := range value.SortedKeys(n.abandonedAttempts) {
		if now.Sub(n.abandonedAttempts[attempt]) > retention {
			delete(n.abandonedAttempts, attempt)
		}
	}
}

func (n *Node) resendHorizon() time.Duration { return n.document.ResendHorizonMillis.Duration() }

// answerText returns the output of the last stage that streams.
func (n *Node) answerText(r *run) string {
	for i := len(r.results) - 1; i >= 0; i-- {
		k := stage.Lookup(n.serviceKind(r.pipeline.Stages[i].Service))
		if k != nil && k.Streams {
			return r.results[i].Output
		}
	}
	return ""
}

func (n *Node) cancelCall(r *run) {
	c := r.call
	if c == nil {
		return
	}
	n.removeCall(c)
	c.endpoint.RecordCancellation()
	n.out.CancelCall(c.id)
}

// reply sends the answer to one waiter, after the tokens that a streaming
// waiter still lacks.
func (n *Node) reply(w waiter, r *run) {
	if w.notify != nil {
		w.notify(r.answer)
		return
	}
	if w.stream && r.answer.Outcome == outcome.Whole {
		n.streamRemaining(&w, r)
	}
	n.out.SendAnswer(w.id, r.answer)
}

// streamRemaining sends the tokens that a waiter has not got yet, when the
// answer came from elsewhere or was complete before the waiter came.
func (n *Node) streamRemaining(w *waiter, r *run) {
	tokens := r.tokens
	if strings.Join(tokens, "") != r.answer.Text {
		tokens = splitTokens(r.answer.Text)
	}
	for ; w.sentTokens < len(tokens); w.sentTokens++ {
		n.out.SendToken(w.id, w.sentTokens, tokens[w.sentTokens])
	}
}

// settle sends the final answer to the key's voting group until all seats have
// acknowledged it or it has been sent maxSettleSends times. In the latter case
// this instance still answers followers from its own record.
func (n *Node) settle(r *run) {
	c := &r.claim
	if c.group == nil {
		c.group = claim.VotingGroup(n.document, r.key)
	}
	if c.acknowledgedBy == nil {
		c.acknowledgedBy = value.NewSet[ident.Instance]()
	}
	if c.settleSends >= maxSettleSends || len(c.acknowledgedBy) == len(c.group) {
		return
	}
	c.settleSends++
	answer := r.answer
	record := claim.Record{Key: r.key, Digest: r.digest, Holder: c.holder, GrantedAt: n.now(), Answer: &answer}
	for _, seat := range c.group {
		if !c.acknowledgedBy.Has(seat) {
			n.send(seat, message.Envelope{Settle: &record})
		}
	}
	if len(c.acknowledgedBy) < len(c.group) {
		c.timer = n.timers.After(settleResendInterval<<c.settleSends, func() { n.settle(r) })
	}
}

func (n *Node) handleSettleAck(from ident.Instance, m message.SettleAck) {
	r := n.runs[m.Key]
	if r != nil && r.claim.holder.Attempt == m.Attempt && r.claim.acknowledgedBy != nil {
		r.claim.acknowledgedBy.Add(from)
	}
}

// streamStageIndex returns the index of the stage whose tokens the caller
// gets: the last one that streams, or -1 if none does.
func (n *Node) streamStageIndex(p *configuration.Pipeline) int {
	for i := len(p.Stages) - 1; i >= 0; i-- {
		k := stage.Lookup(n.serviceKind(p.Stages[i].Service))
		if k != nil && k.Streams {
			return i
		}
	}
	return -1
}
