package node

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
)

// retryBaseDelay is the delay before the second attempt of a stage; it doubles
// with each further attempt.
const retryBaseDelay = 10 * time.Millisecond

const (
	blameBroadcasts     = 3
	blameResendInterval = 200 * time.Millisecond
)

// HandleCallFailure handles the failure of a call. The detail is only logged.
func (n *Node) HandleCallFailure(id ident.CallID, f CallFailure, detail string) {
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
		n.directory.MarkLeaving(n.now(), c.endpoint.Name)
	}
	if f == ConnectionBroken {
		n.reportCrash(c)
	}
	n.removeCall(c)
	c.endpoint.RecordFailure(n.now())
	n.counters.FailedCalls++
	n.recordStageBurn(r, false)
	n.logEvent("callFailed", r.key, string(c.endpoint.Name)+" "+string(f)+" "+detail)
	if r.phase != phaseRunning {
		return
	}
	r.failedEndpoints.Add(c.endpoint.Name)
	n.retryStage(r, c, f)
}

// retryStage repeats a failed stage if that is safe and the retry budget
// allows it; otherwise it ends the run.
func (n *Node) retryStage(r *run, c *call, f CallFailure) {
	s := &r.pipeline.Stages[r.stageIndex]
	check := configuration.NoDuplicateCheck
	if service := n.document.Service(s.Service); service != nil {
		check = service.DuplicateCheck
	}
	tookMillis := float64(n.now().Sub(c.startedAt)) / float64(time.Millisecond)
	r.currentResult.Millis += tookMillis
	if !f.DidNotRun() {
		r.currentResult.Cost.WastedMillis += tookMillis
	}
	if !n.rules.MayRetry(f, s.Idempotent, check) {
		n.finish(r, outcome.Lost, outcome.ReplyLost, "the call to "+string(c.endpoint.Name)+" was sent and no reply came")
		return
	}
	if !s.Idempotent && f.DidNotRun() && !r.mayHaveHadEffects() {
		r.nonIdempotentSent = false
	}
	// The retry budget prevents overload. A leaving endpoint is no sign of
	// overload, and the other endpoints have capacity for what it declines.
	exemptFromBudget := f == EndpointLeaving || f == NotSent
	if r.currentResult.Attempts >= maxStageAttempts || !exemptFromBudget && !n.retryBudget.TryTake() {
		n.abort(r, outcome.StageFailed)
		return
	}
	n.counters.Retries++
	n.retryLater(r, retryBaseDelay<<min(r.currentResult.Attempts-1, 6))
}

// mayHaveHadEffects reports whether an earlier attempt of the current stage may
// have run, or an earlier stage was not idempotent.
func (r *run) mayHaveHadEffects() bool {
	if r.currentResult.Cost.WastedMillis > 0 {
		return true
	}
	for i := range r.results {
		if !r.pipeline.Stages[i].Idempotent {
			return true
		}
	}
	return false
}

// abortIfQuarantined ends a run whose content has been quarantined since the
// run began, and reports whether it did.
func (n *Node) abortIfQuarantined(r *run) bool {
	if n.blame.StatusOf(n.now(), r.digest) != blame.Poison || !n.rules.EnforceQuarantine() {
		return false
	}
	n.abort(r, outcome.Quarantined)
	return true
}

func (n *Node) retryLater(r *run, delay time.Duration) {
	n.timers.Stop(r.retryTimer)
	r.retryTimer = n.timers.After(delay, func() { n.advance(r) })
}

// reportCrash blames the content of a broken call for the crash of its
// endpoint, and tells the other instances, since a caller may send the same
// content to them.
func (n *Node) reportCrash(c *call) {
	r := c.run
	if r.stageIndex < len(r.pipeline.Stages) && !r.pipeline.Stages[r.stageIndex].Idempotent {
		// A non-idempotent stage is never sent again, so its content cannot
		// crash another endpoint.
		return
	}
	report := blame.Report{Digest: r.digest, Endpoint: c.endpoint.Name, Service: c.service, At: n.now()}
	n.blame.AddReport(n.now(), report)
	n.logEvent("endpointCrash", r.key, string(c.endpoint.Name))
	n.broadcastBlame(message.Blame{Report: report}, blameBroadcasts)
}

// broadcastBlame sends a crash report to the other instances several times.
// Crashes are rare, and a lost report could cost another endpoint.
func (n *Node) broadcastBlame(b message.Blame, remainingSends int) {
	n.broadcast(message.Envelope{Blame: &b})
	if remainingSends > 1 {
		n.timers.After(blameResendInterval, func() { n.broadcastBlame(b, remainingSends-1) })
	}
}

// clearBlame clears content that finished in isolation, here and at the other
// instances.
func (n *Node) clearBlame(d ident.Digest) {
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

// broadcast sends a message to all other instances. It is meant for rare
// events only, since its cost grows with the fleet.
func (n *Node) broadcast(m message.Envelope) {
	for _, peer := range n.peers {
		n.send(peer, m)
	}
}
