package node

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
)

// retryBase is the pause before the second attempt of a stage; each further
// one doubles it.
const retryBase = 10 * time.Millisecond

const (
	blameSends  = 3
	blameResend = 200 * time.Millisecond
)

// CallFailed takes the failure of a call. The detail goes to the log.
func (n *Node) CallFailed(id ident.CallID, f CallFailure, detail string) {
	c := n.findCall(id)
	if c == nil {
		n.counters.LateReplies++
		return
	}
	n.failCall(c, f, detail)
}

func (n *Node) failCall(c *call, f CallFailure, detail string) {
	r := c.run
	if f == EndpointLeaving {
		n.book.MarkLeaving(n.now(), c.endpoint.Name)
	}
	if f == ConnectionBroken {
		n.accuse(c)
	}
	n.endCall(c)
	c.endpoint.RecordFailure(n.now())
	n.counters.FailedCalls++
	n.countStageBurn(r, false)
	n.event("callFailed", r.key, string(c.endpoint.Name)+" "+string(f)+" "+detail)
	if r.phase != working {
		return
	}
	r.failed.Add(c.endpoint.Name)
	n.retryStage(r, c, f)
}

// retryStage repeats a failed stage if that is safe and there is a budget.
func (n *Node) retryStage(r *run, c *call, f CallFailure) {
	s := &r.pipeline.Stages[r.stage]
	check := configuration.NoDuplicateCheck
	if service := n.document.Service(s.Service); service != nil {
		check = service.DuplicateCheck
	}
	took := float64(n.now().Sub(c.started)) / float64(time.Millisecond)
	r.current.Millis += took
	if !f.DidNotRun() {
		r.current.Cost.WastedMillis += took
	}
	if !n.rules.MayRetry(f, s.Idempotent, check) {
		n.finish(r, outcome.Lost, outcome.ReplyLost, "the call to "+string(c.endpoint.Name)+" was sent and no reply came")
		return
	}
	if !s.Idempotent && f.DidNotRun() && !r.ranBefore() {
		r.dispatched = false
	}
	// An endpoint that is leaving is no sign of overload; the others have
	// room for what it declines.
	free := f == EndpointLeaving || f == NotSent
	if r.current.Attempts >= maxAttempts || !free && !n.retries.TryTake() {
		n.abort(r, outcome.StageFailed)
		return
	}
	n.counters.Retries++
	n.retryLater(r, retryBase<<min(r.current.Attempts-1, 6))
}

// ranBefore reports whether an earlier attempt or stage may have had effects.
func (r *run) ranBefore() bool {
	if r.current.Cost.WastedMillis > 0 {
		return true
	}
	for i := range r.results {
		if !r.pipeline.Stages[i].Idempotent {
			return true
		}
	}
	return false
}

// endIfGuilty ends a run whose content has been quarantined meanwhile.
func (n *Node) endIfGuilty(r *run) bool {
	if n.blame.StatusOf(n.now(), r.digest) != blame.Poison || !n.rules.EnforceQuarantine() {
		return false
	}
	n.abort(r, outcome.Quarantined)
	return true
}

func (n *Node) retryLater(r *run, pause time.Duration) {
	n.timers.Stop(r.retrying)
	r.retrying = n.timers.After(pause, func() { n.advance(r) })
}

// accuse blames the content of a broken call for the endpoint's death and
// tells the other instances, which may get the same content next.
func (n *Node) accuse(c *call) {
	r := c.run
	if r.stage < len(r.pipeline.Stages) && !r.pipeline.Stages[r.stage].Idempotent {
		// It is never sent again anyway.
		return
	}
	report := blame.Report{Digest: r.digest, Endpoint: c.endpoint.Name, Service: c.service, At: n.now()}
	n.blame.AddReport(n.now(), report)
	n.event("endpointCrash", r.key, string(c.endpoint.Name))
	n.spreadBlame(message.Blame{Report: report}, blameSends)
}

// spreadBlame tells the other instances several times: a crash is rare, and a
// lost word of it would cost another endpoint.
func (n *Node) spreadBlame(b message.Blame, times int) {
	n.broadcast(message.Envelope{Blame: &b})
	if times > 1 {
		n.timers.After(blameResend, func() { n.spreadBlame(b, times-1) })
	}
}

// acquit clears content that finished alone on an endpoint.
func (n *Node) acquit(d ident.Digest) {
	n.blame.Clear(d)
	n.broadcast(message.Envelope{Blame: &message.Blame{Report: blame.Report{Digest: d}, Cleared: true}})
}

func (n *Node) handleBlame(b message.Blame) {
	if b.Cleared {
		n.blame.Clear(b.Report.Digest)
		return
	}
	n.blame.AddReport(n.now(), b.Report)
}

// broadcast tells all other instances. Only rare events may use it.
func (n *Node) broadcast(m message.Envelope) {
	for _, peer := range n.peers {
		n.send(peer, m)
	}
}
