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

// sweepPeriod is how often expired runs are dropped.
const sweepPeriod = time.Second

// abort ends a run that cannot be finished. NotRun needs the right that makes
// this instance the only one that could run the request; without it an
// earlier sending may be running elsewhere.
func (n *Node) abort(r *run, reason outcome.Reason) {
	if r.phase == done {
		return
	}
	switch {
	case r.collecting:
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "those who would know are out of reach")
	case r.dispatched:
		n.finish(r, outcome.Lost, outcome.ReplyLost, "a non-idempotent stage was dispatched before: "+string(reason))
	case r.phase == working && (r.owned() || r.idempotent):
		n.finish(r, outcome.NotRun, reason, "")
	case r.phase == following && r.idempotent:
		n.finish(r, outcome.NotRun, reason, "")
	default:
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "it is not known whether an earlier sending ran: "+string(reason))
	}
}

// finish gives a run its final answer.
func (n *Node) finish(r *run, o outcome.Outcome, reason outcome.Reason, detail string) {
	if r.phase == done {
		return
	}
	a := outcome.Answer{ID: r.key.ID, Outcome: o, Reason: reason, Detail: detail, ServedBy: n.config.Seat}
	a.Stages = r.results
	a.Late = n.now().After(r.deadline)
	for i := range r.results {
		a.Cost.Add(r.results[i].Cost)
	}
	a.Cost.Add(r.current.Cost)
	if o == outcome.Whole {
		a.Text = n.text(r)
		if r.shared {
			n.propose(r, a)
			return
		}
	}
	n.conclude(r, a)
}

// conclude ends a run with an answer made here or elsewhere.
func (n *Node) conclude(r *run, a outcome.Answer) {
	n.counters.count(a.Outcome)
	if a.Late && a.Outcome == outcome.Whole {
		n.counters.Late++
	}
	n.cancelCall(r)
	r.phase = done
	r.answer = a
	n.countBurn(r)
	n.stopTimers(r)
	if r.admitted {
		n.admission.Release(r.key.Workspace)
		r.admitted = false
	}
	n.remember(r)
	for _, w := range r.waiters {
		n.reply(w, r)
	}
	for _, f := range r.followers {
		n.sendFinished(f, r)
	}
	r.waiters = nil
	r.followers = nil
}

// remember keeps a whole answer, and the tombstone behind any other answer of
// a request that this instance alone may run. What it could not decide it
// forgets, so that a later question is asked afresh; and a request without
// effects may simply be sent again.
func (n *Node) remember(r *run) {
	whole := r.answer.Outcome == outcome.Whole
	tombstone := r.owned() && !r.idempotent && n.rules.KeepTombstone()
	if r.collecting || !whole && !tombstone {
		n.keepPartial(r)
		n.release(r)
		n.forget(r)
		return
	}
	n.finished = append(n.finished, r)
	// The answer holds the results; the digest recognises the body.
	r.submission.Body = ""
	r.results = nil
	r.failed = nil
	switch {
	case r.shared:
	case r.adopted:
		n.release(r)
	default:
		n.settle(r)
	}
}

func (n *Node) forget(r *run) {
	delete(n.attempts, r.claim.holder.Attempt)
	if n.runs[r.key] == r {
		delete(n.runs, r.key)
	}
	if n.collects[r.key] == r {
		delete(n.collects, r.key)
	}
}

// sweep drops answered runs that are older than the resend horizon.
func (n *Node) sweep() {
	if n.document == nil {
		return
	}
	keep := n.horizon() + n.document.ClockSkewMillis.Duration()
	now := n.now()
	i := 0
	for i < len(n.finished) && now.Sub(n.finished[i].started) > keep+lateLimit {
		n.forget(n.finished[i])
		i++
	}
	n.finished = n.finished[i:]
	n.sweepPartial()
	n.sweepLegacies(keep + lateLimit)
	for _, attempt := range value.SortedKeys(n.abandoned) {
		if now.Sub(n.abandoned[attempt]) > keep {
			delete(n.abandoned, attempt)
		}
	}
}

func (n *Node) horizon() time.Duration { return n.document.ResendHorizonMillis.Duration() }

// text is the output of the last stage that streams.
func (n *Node) text(r *run) string {
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
	n.endCall(c)
	c.endpoint.RecordCancellation()
	n.out.CancelCall(c.id)
}

// reply gives one waiter the answer under the id that it asked for.
func (n *Node) reply(w waiter, r *run) {
	if w.notify != nil {
		w.notify(r.answer)
		return
	}
	if w.stream && r.answer.Outcome == outcome.Whole {
		n.pushRest(&w, r)
	}
	n.out.SendAnswer(w.id, r.answer)
}

// pushRest streams what a waiter has not got yet of an answer that came from
// elsewhere, or that was complete before the waiter came.
func (n *Node) pushRest(w *waiter, r *run) {
	tokens := r.tokens
	if strings.Join(tokens, "") != r.answer.Text {
		tokens = splitTokens(r.answer.Text)
	}
	for ; w.sent < len(tokens); w.sent++ {
		n.out.SendToken(w.id, w.sent, tokens[w.sent])
	}
}

// settle tells the key's seats the final answer, until all have confirmed or
// it has been sent often enough: the holder still answers for it then.
func (n *Node) settle(r *run) {
	c := &r.claim
	if c.group == nil {
		c.group = claim.VotingGroup(n.document, r.key)
	}
	if c.kept == nil {
		c.kept = value.NewSet[ident.Instance]()
	}
	if c.settles >= maxSettles || len(c.kept) == len(c.group) {
		return
	}
	c.settles++
	answer := r.answer
	record := claim.Record{Key: r.key, Digest: r.digest, Holder: c.holder, GrantedAt: n.now(), Answer: &answer}
	for _, seat := range c.group {
		if !c.kept.Has(seat) {
			n.send(seat, message.Envelope{Settle: &record})
		}
	}
	if len(c.kept) < len(c.group) {
		c.timer = n.timers.After(settleResend<<c.settles, func() { n.settle(r) })
	}
}

func (n *Node) handleSettled(from ident.Instance, m message.SettleAck) {
	r := n.runs[m.Key]
	if r != nil && r.claim.holder.Attempt == m.Attempt && r.claim.kept != nil {
		r.claim.kept.Add(from)
	}
}

// pipelineStreams returns the index of the stage whose tokens the caller
// gets, or -1.
func (n *Node) pipelineStreams(p *configuration.Pipeline) int {
	for i := len(p.Stages) - 1; i >= 0; i-- {
		k := stage.Lookup(n.serviceKind(p.Stages[i].Service))
		if k != nil && k.Streams {
			return i
		}
	}
	return -1
}
