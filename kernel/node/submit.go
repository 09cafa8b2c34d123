package node

import (
	"fmt"
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
)

// Submit handles a caller's request. The answer goes to the waiter.
func (n *Node) Submit(id ident.WaiterID, s message.Submission, stream bool) {
	n.submit(waiter{id: id, stream: stream}, s)
}

func (n *Node) submit(w waiter, s message.Submission) {
	n.counters.Submitted++
	if n.document == nil || n.retired {
		// This process cannot know whether an earlier sending ran.
		n.reject(w, s.Key.ID, outcome.Lost, outcome.NotReady, "this instance is not serving; send again")
		return
	}
	p := n.document.Pipeline(s.Pipeline)
	if p == nil {
		n.reject(w, s.Key.ID, outcome.Refused, outcome.UnknownPipeline, fmt.Sprintf("there is no pipeline %q", s.Pipeline))
		return
	}
	if r := n.runs[s.Key]; r != nil {
		n.joinRun(w, r, s)
		return
	}
	if len(n.runs) >= n.config.Bounds.MaxRuns {
		n.reject(w, s.Key.ID, outcome.Lost, outcome.TableFull, "too many requests are remembered; an earlier sending may have run")
		return
	}
	r := n.newRun(s, p)
	if ticket.HasPrefix(s.Key.ID) {
		n.submitTicket(w, r)
		return
	}
	r.refusal = n.admitOrRefuse(r)
	if r.refusal != "" && r.idempotent {
		r.answer.Outcome = outcome.Refused
		n.recordRequestBurn(r)
		n.reject(w, s.Key.ID, outcome.Refused, r.refusal, "")
		return
	}
	n.addRun(w, r)
	n.startClaim(r)
	n.advance(r)
}

// joinRun makes a resent request wait for the run that has its id.
func (n *Node) joinRun(w waiter, r *run, s message.Submission) {
	if r.digest != s.Digest() {
		n.reject(w, s.Key.ID, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
		return
	}
	n.counters.Rejoined++
	n.addWaiter(r, w)
}

// addRun adds a run to the table, with its first waiter and its deadline
// timers.
func (n *Node) addRun(w waiter, r *run) {
	n.runs[r.key] = r
	n.addWaiter(r, w)
	n.startDeadlineTimers(r)
}

// reject answers a request at once, without keeping a run for it.
func (n *Node) reject(w waiter, id ident.RequestID, o outcome.Outcome, reason outcome.Reason, detail string) {
	r := &run{phase: phaseDone, answer: outcome.Answer{ID: id, Outcome: o, Reason: reason, Detail: detail, ServedBy: n.config.Seat}}
	n.counters.countOutcome(o)
	n.reply(w, r)
}

// admitOrRefuse admits a request, or returns the reason to refuse it before it
// costs anything. An admitted request counts against the admission limits
// until it is done.
func (n *Node) admitOrRefuse(r *run) outcome.Reason {
	now := n.now()
	if n.blame.StatusOf(now, r.digest) == blame.Poison && n.rules.EnforceQuarantine() {
		return outcome.Quarantined
	}
	if n.cannotFinish(r) {
		return outcome.CannotFinish
	}
	if !n.admission.Admit(now, r.key.Workspace) {
		return outcome.OverLimit
	}
	r.admitted = true
	return ""
}

// maxLateFactor is the ratio of the expected time to the remaining time up to
// which a request is admitted, if its pipeline delivers late answers.
const maxLateFactor = 1.5

// cannotFinish reports whether the stages are expected to take longer at the
// best endpoints than the deadline allows.
func (n *Node) cannotFinish(r *run) bool {
	totalMillis := 0.0
	for i := range r.pipeline.Stages {
		totalMillis += n.estimateStageMillis(&r.pipeline.Stages[i])
	}
	allowedMillis := float64(r.deadline.Sub(n.now())) / float64(time.Millisecond)
	if r.pipeline.LateAnswer == configuration.DeliverLate {
		allowedMillis *= maxLateFactor
	}
	return totalMillis > allowedMillis
}

// estimateStageMillis estimates a stage's time at the endpoint that would
// finish it first. A service without an endpoint counts as idle: the list of
// endpoints lags, and a wrong refusal would be worse than a wait.
func (n *Node) estimateStageMillis(s *configuration.Stage) float64 {
	service := n.document.Service(s.Service)
	minMillis := 0.0
	for i, e := range n.directory.Candidates(n.now(), s.Service, nil) {
		millis := max(e.LatencyMillis, float64(s.ExpectedMillis))
		queuedRounds := max(e.EstimatedInFlight(n.now())/float64(service.Concurrency)-1, 0)
		millis *= 1 + queuedRounds
		if i == 0 || millis < minMillis {
			minMillis = millis
		}
	}
	return minMillis
}

// advance does the next step of a run that is not waiting for anything.
func (n *Node) advance(r *run) {
	if r.phase != phaseRunning || r.call != nil || r.collectOnly {
		return
	}
	if r.refusal != "" {
		if r.isOwned() {
			n.finish(r, outcome.Refused, r.refusal, "")
		}
		return
	}
	if r.pipeline.SharesAnswer && !r.producesSharedAnswer {
		n.awaitSharedAnswer(r)
		return
	}
	if !n.mayStart(r) {
		return
	}
	if r.stageIndex == len(r.pipeline.Stages) {
		n.finish(r, outcome.Whole, "", "")
		return
	}
	n.dispatch(r)
}

// mayStart reports whether the run's next stage may start although an earlier
// sending could be running elsewhere. The first stage of a first sending does
// not wait for the claim if it is idempotent; the two overlap. After claimGrace
// an idempotent request goes on without its claim.
func (n *Node) mayStart(r *run) bool {
	if r.isOwned() {
		return true
	}
	if r.stageIndex < len(r.pipeline.Stages) && !r.pipeline.Stages[r.stageIndex].Idempotent {
		return n.rules.MayDispatch(false)
	}
	if r.producesSharedAnswer {
		// A shared answer is only computed by the winner of a ballot.
		return false
	}
	if r.stageIndex == 0 && !r.submission.Resend {
		return true
	}
	return r.idempotent && n.now().Sub(r.startedAt) >= claimGrace
}
