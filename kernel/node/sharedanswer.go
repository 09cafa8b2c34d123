package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/sharedanswer"
)

// sharedAnswerState is the progress of a run that produces the shared answer
// of all equal requests.
type sharedAnswerState struct {
	group  []ident.Instance
	ballot sharedanswer.Ballot
	quorum *sharedanswer.Quorum
	// proposal is the answer to write, once there is one.
	proposal *outcome.Answer
	// preemptedSince is when a higher ballot got ahead of this one, zero if
	// none did; overtakeDelay is how long the higher ballot is waited for.
	preemptedSince time.Time
	overtakeDelay  time.Duration
}

// awaitSharedAnswer makes a request wait for the shared answer of all equal
// requests. If no run here produces it yet, one is started.
func (n *Node) awaitSharedAnswer(r *run) {
	if r.awaitsSharedAnswer {
		return
	}
	r.awaitsSharedAnswer = true
	s := r.submission
	s.Key.ID = ident.RequestID("same:" + string(s.Pipeline) + ":" + r.digest.String())
	notify := func(a outcome.Answer) { n.finishWithShared(r, a) }
	if producer := n.runs[s.Key]; producer != nil {
		n.addWaiter(producer, waiter{notify: notify})
		return
	}
	producer := n.newRun(s, r.pipeline)
	producer.producesSharedAnswer = true
	n.addRun(waiter{notify: notify}, producer)
	n.startBallot(producer, 1)
}

func (n *Node) finishWithShared(r *run, a outcome.Answer) {
	if r.phase == phaseDone {
		return
	}
	r.results = a.Stages
	n.finish(r, a.Outcome, a.Reason, a.Detail)
}

// startBallot asks the key's voting group for the right to write the
// answer.
func (n *Node) startBallot(r *run, number uint64) {
	s := &r.sharedAnswer
	s.group = claim.VotingGroup(n.document, r.key)
	s.ballot = sharedanswer.Ballot{Number: number, Instance: n.config.Seat, Incarnation: n.config.Incarnation}
	s.quorum = sharedanswer.NewQuorum(len(s.group), n.rules.Consistent)
	s.preemptedSince = time.Time{}
	r.ownership = unowned
	n.sendBallot(r)
}

// sendBallot sends the ballot's current request to the whole voting group, and
// repeats that. The replies also bring the answer of a higher ballot.
func (n *Node) sendBallot(r *run) {
	s := &r.sharedAnswer
	if r.phase == phaseDone || !n.keepOrRestartBallot(r) {
		return
	}
	n.timers.Stop(r.claim.timer)
	r.claim.timer = n.timers.After(claimResendInterval, func() { n.sendBallot(r) })
	ballot := s.ballot
	for _, seat := range s.group {
		switch {
		case r.phase == phaseDone || s.ballot != ballot:
			return
		case s.proposal != nil && r.isOwned():
			n.send(seat, message.Envelope{Accept: &sharedanswer.Accept{Key: r.key, Ballot: s.ballot, Answer: s.proposal}})
		case !r.isOwned():
			n.send(seat, message.Envelope{Prepare: &sharedanswer.Prepare{Key: r.key, Ballot: s.ballot}})
		}
	}
}

// keepOrRestartBallot reports whether the current ballot stays in use. If a
// higher ballot is ahead, it waits for that one's answer; when the writer has
// had time to finish, it starts a ballot above it and returns false.
func (n *Node) keepOrRestartBallot(r *run) bool {
	s := &r.sharedAnswer
	if s.preemptedSince.IsZero() && !s.quorum.Preempted() {
		return true
	}
	if s.preemptedSince.IsZero() {
		s.preemptedSince = n.now()
		s.overtakeDelay = n.overtakeDelay(r)
		n.cancelCall(r)
		r.ownership = unowned
	}
	if n.now().Sub(s.preemptedSince) < s.overtakeDelay {
		return true
	}
	n.startBallot(r, s.quorum.HighestBallotNumber()+1)
	return false
}

// overtakeDelay returns how long another writer is waited for: twice what the
// stages are expected to take, plus jitter so that two waiting instances do
// not preempt each other.
func (n *Node) overtakeDelay(r *run) time.Duration {
	delay := claimResendInterval
	for _, s := range r.pipeline.Stages {
		delay += 2 * s.ExpectedMillis.Duration()
	}
	return delay + time.Duration(n.config.Random.Int64N(int64(delay)))
}

func (n *Node) handlePrepare(from ident.Instance, m sharedanswer.Prepare) {
	if group, ok := n.groupIfSynced(m.Key); ok {
		reply := n.sharedAnswers.Prepare(n.now(), m, n.voter.Stamp(group))
		n.send(from, message.Envelope{Promise: &reply})
	}
}

func (n *Node) handleAccept(from ident.Instance, m sharedanswer.Accept) {
	if group, ok := n.groupIfSynced(m.Key); ok {
		reply := n.sharedAnswers.Accept(n.now(), m, n.voter.Stamp(group))
		n.send(from, message.Envelope{Accepted: &reply})
	}
}

// groupIfSynced returns the key's voting group, and whether this seat knows
// the group's records, which it must before it replies.
func (n *Node) groupIfSynced(key ident.Key) ([]ident.Instance, bool) {
	if n.document == nil || n.retired {
		return nil, false
	}
	group := claim.VotingGroup(n.document, key)
	return group, n.voter.SyncedWith(group)
}

// handlePromise counts a reply to the ballot's Prepare. If an answer is chosen
// already, the run ends with it. If a majority promised the ballot, the run
// writes the answer of an earlier ballot or, if there is none, computes one.
func (n *Node) handlePromise(p sharedanswer.Promise) {
	r := n.runs[p.Key]
	if r == nil || !r.producesSharedAnswer || r.phase != phaseRunning || r.sharedAnswer.ballot != p.Ballot {
		return
	}
	s := &r.sharedAnswer
	s.quorum.AddPromise(p)
	if chosen := s.quorum.Chosen(); chosen != nil {
		n.counters.Adopted++
		n.conclude(r, *chosen)
		return
	}
	if r.isOwned() || !s.preemptedSince.IsZero() {
		return
	}
	promised, earlier := s.quorum.MajorityPromised()
	if !promised {
		return
	}
	r.ownership = ownedByClaim
	if earlier != nil {
		s.proposal = earlier
	}
	if s.proposal != nil {
		n.sendBallot(r)
		return
	}
	n.advance(r)
}

// propose has the answer accepted by the voting group before any caller gets
// it.
func (n *Node) propose(r *run, a outcome.Answer) {
	r.sharedAnswer.proposal = &a
	n.sendBallot(r)
}

// handleAccepted counts a reply to the ballot's Accept, and ends the run once a
// majority has accepted its answer.
func (n *Node) handleAccepted(m sharedanswer.Accepted) {
	r := n.runs[m.Key]
	if r == nil || !r.producesSharedAnswer || r.phase != phaseRunning || r.sharedAnswer.ballot != m.Ballot {
		return
	}
	s := &r.sharedAnswer
	s.quorum.AddAccepted(m)
	if !s.preemptedSince.IsZero() {
		return
	}
	if s.proposal != nil && s.quorum.MajorityAccepted() {
		n.conclude(r, *s.proposal)
	}
}
