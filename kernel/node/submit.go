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

// Submit takes a caller's request. The answer goes to the waiter.
func (n *Node) Submit(id ident.WaiterID, s message.Submission, stream bool) {
	n.submit(waiter{id: id, stream: stream}, s)
}

func (n *Node) submit(w waiter, s message.Submission) {
	n.counters.Submitted++
	if n.document == nil || n.retired {
		// This process cannot know whether an earlier sending ran.
		n.refuse(w, s.Key.ID, outcome.Lost, outcome.NotReady, "this instance is not serving; send again")
		return
	}
	p := n.document.Pipeline(s.Pipeline)
	if p == nil {
		n.refuse(w, s.Key.ID, outcome.Refused, outcome.UnknownPipeline, fmt.Sprintf("there is no pipeline %q", s.Pipeline))
		return
	}
	if r := n.runs[s.Key]; r != nil {
		n.rejoin(w, r, s)
		return
	}
	if len(n.runs) >= n.config.Bounds.MaxRuns {
		n.refuse(w, s.Key.ID, outcome.Lost, outcome.TableFull, "too many requests are remembered; an earlier sending may have run")
		return
	}
	r := n.newRun(s, p)
	if ticket.HasPrefix(s.Key.ID) {
		n.submitTicket(w, r)
		return
	}
	r.shed = n.shed(r)
	if r.shed != "" && r.idempotent {
		r.answer.Outcome = outcome.Refused
		n.countBurn(r)
		n.refuse(w, s.Key.ID, outcome.Refused, r.shed, "")
		return
	}
	n.begin(w, r)
	n.startClaim(r)
	n.advance(r)
}

// rejoin attaches a resent request to the run that it belongs to.
func (n *Node) rejoin(w waiter, r *run, s message.Submission) {
	if r.digest != s.Digest() {
		n.refuse(w, s.Key.ID, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
		return
	}
	n.counters.Rejoined++
	n.attach(r, w)
}

// begin puts a run into the table.
func (n *Node) begin(w waiter, r *run) {
	n.runs[r.key] = r
	n.attach(r, w)
	n.watch(r)
}

// refuse answers a request that never became a run.
func (n *Node) refuse(w waiter, id ident.RequestID, o outcome.Outcome, reason outcome.Reason, detail string) {
	r := &run{phase: done, answer: outcome.Answer{ID: id, Outcome: o, Reason: reason, Detail: detail, ServedBy: n.config.Seat}}
	n.counters.count(o)
	n.reply(w, r)
}

// shed decides at the door whether a request is turned away, before it costs
// anything. An admitted request has a place until it is done.
func (n *Node) shed(r *run) outcome.Reason {
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

// lateTolerance is how far past the deadline a request that may be delivered
// late can be expected to end and still be taken on.
const lateTolerance = 1.5

// cannotFinish compares the time that the stages will take at the best
// endpoints with the deadline.
func (n *Node) cannotFinish(r *run) bool {
	total := 0.0
	for i := range r.pipeline.Stages {
		total += n.stageMillis(&r.pipeline.Stages[i])
	}
	allowed := float64(r.deadline.Sub(n.now())) / float64(time.Millisecond)
	if r.pipeline.LateAnswer == configuration.DeliverLate {
		allowed *= lateTolerance
	}
	return total > allowed
}

// stageMillis estimates a stage's time at its least busy endpoint. A service
// without an endpoint counts as idle: the list lags, and a false refusal
// would be worse than a wait.
func (n *Node) stageMillis(s *configuration.Stage) float64 {
	service := n.document.Service(s.Service)
	least := 0.0
	for i, e := range n.book.Candidates(n.now(), s.Service, nil) {
		millis := max(e.LatencyMillis, float64(s.ExpectedMillis))
		waves := max(e.EstimatedInFlight(n.now())/float64(service.Concurrency)-1, 0)
		millis *= 1 + waves
		if i == 0 || millis < least {
			least = millis
		}
	}
	return least
}

// advance does the next step of a working run, if nothing holds it back.
func (n *Node) advance(r *run) {
	if r.phase != working || r.call != nil || r.collecting {
		return
	}
	if r.shed != "" {
		if r.owned() {
			n.finish(r, outcome.Refused, r.shed, "")
		}
		return
	}
	if r.pipeline.SharesAnswer && !r.shared {
		n.share(r)
		return
	}
	if !n.mayStart(r) {
		return
	}
	if r.stage == len(r.pipeline.Stages) {
		n.finish(r, outcome.Whole, "", "")
		return
	}
	n.dispatch(r)
}

// mayStart holds a run back until it is known whether an earlier sending is
// running elsewhere. The first stage of a first sending does not wait: it has
// no effect, and the claim overlaps with it.
func (n *Node) mayStart(r *run) bool {
	if r.owned() {
		return true
	}
	if r.stage < len(r.pipeline.Stages) && !r.pipeline.Stages[r.stage].Idempotent {
		return n.rules.MayDispatch(false)
	}
	if r.shared {
		// The answer is written before it is told; a ballot has to be won.
		return false
	}
	if r.stage == 0 && !r.submission.Resend {
		return true
	}
	return r.idempotent && n.now().Sub(r.started) >= claimGrace
}
