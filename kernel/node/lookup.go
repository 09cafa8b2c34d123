package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/remembered"
)

// lookUpState is the progress of a run whose answer all equal look-ups share.
type lookUpState struct {
	group  []ident.Instance
	ballot remembered.Ballot
	quorum *remembered.Quorum
	// proposal is the answer to write, once there is one.
	proposal *outcome.Answer
	// yielded is when another ballot got ahead, and patience how long that
	// one is waited for.
	yielded  time.Time
	patience time.Duration
}

// share lets a look-up wait for the one answer that all equal look-ups get.
func (n *Node) share(r *run) {
	if r.sharing {
		return
	}
	r.sharing = true
	s := r.submission
	s.Key.ID = ident.RequestID("same:" + string(s.Pipeline) + ":" + r.digest.String())
	notify := func(a outcome.Answer) { n.shareDone(r, a) }
	if common := n.runs[s.Key]; common != nil {
		n.attach(common, waiter{notify: notify})
		return
	}
	common := n.newRun(s, r.pipeline)
	common.shared = true
	n.begin(waiter{notify: notify}, common)
	n.startBallot(common, 1)
}

func (n *Node) shareDone(r *run, a outcome.Answer) {
	if r.phase == done {
		return
	}
	r.results = a.Stages
	n.finish(r, a.Outcome, a.Reason, a.Detail)
}

// startBallot asks the content's seats for the right to write the answer.
func (n *Node) startBallot(r *run, number uint64) {
	l := &r.lookUp
	l.group = claim.VotingGroup(n.document, r.key)
	l.ballot = remembered.Ballot{Number: number, Instance: n.config.Seat, Incarnation: n.config.Incarnation}
	l.quorum = remembered.NewQuorum(len(l.group), n.rules.Consistent)
	l.yielded = time.Time{}
	r.ownership = unowned
	n.sendBallot(r)
}

// sendBallot asks all seats and repeats that, which also polls for the answer
// of a ballot that is ahead.
func (n *Node) sendBallot(r *run) {
	l := &r.lookUp
	if r.phase == done || !n.stillAhead(r) {
		return
	}
	n.timers.Stop(r.claim.timer)
	r.claim.timer = n.timers.After(claimResend, func() { n.sendBallot(r) })
	ballot := l.ballot
	for _, seat := range l.group {
		switch {
		case r.phase == done || l.ballot != ballot:
			return
		case l.proposal != nil && r.owned():
			n.send(seat, message.Envelope{Accept: &remembered.Accept{Key: r.key, Ballot: l.ballot, Answer: l.proposal}})
		case !r.owned():
			n.send(seat, message.Envelope{Prepare: &remembered.Prepare{Key: r.key, Ballot: l.ballot}})
		}
	}
}

// stillAhead waits for the ballot that is ahead, and overtakes it when its
// writer has had the time to finish.
func (n *Node) stillAhead(r *run) bool {
	l := &r.lookUp
	if l.yielded.IsZero() && !l.quorum.Preempted() {
		return true
	}
	if l.yielded.IsZero() {
		l.yielded = n.now()
		l.patience = n.patience(r)
		n.cancelCall(r)
		r.ownership = unowned
	}
	if n.now().Sub(l.yielded) < l.patience {
		return true
	}
	n.startBallot(r, l.quorum.HighestBallotNumber()+1)
	return false
}

// patience is the time that another writer gets: twice what the stages are
// expected to take, with jitter so that two waiting ones do not collide.
func (n *Node) patience(r *run) time.Duration {
	total := claimResend
	for _, s := range r.pipeline.Stages {
		total += 2 * s.ExpectedMillis.Duration()
	}
	return total + time.Duration(n.config.Random.Int64N(int64(total)))
}

func (n *Node) handlePrepare(from ident.Instance, m remembered.Prepare) {
	if group, ok := n.mayReply(m.Key); ok {
		reply := n.remembered.Prepare(n.now(), m, n.memory.Stamp(group))
		n.send(from, message.Envelope{Promise: &reply})
	}
}

func (n *Node) handleAccept(from ident.Instance, m remembered.Accept) {
	if group, ok := n.mayReply(m.Key); ok {
		reply := n.remembered.Accept(n.now(), m, n.memory.Stamp(group))
		n.send(from, message.Envelope{Accepted: &reply})
	}
}

// mayReply keeps a seat silent until it knows what the others remember.
func (n *Node) mayReply(key ident.Key) ([]ident.Instance, bool) {
	if n.document == nil || n.retired {
		return nil, false
	}
	group := claim.VotingGroup(n.document, key)
	return group, n.memory.SyncedWith(group)
}

func (n *Node) handlePromise(p remembered.Promise) {
	r := n.runs[p.Key]
	if r == nil || !r.shared || r.phase != working || r.lookUp.ballot != p.Ballot {
		return
	}
	l := &r.lookUp
	l.quorum.AddPromise(p)
	if chosen := l.quorum.Chosen(); chosen != nil {
		n.counters.Adopted++
		n.conclude(r, *chosen)
		return
	}
	if r.owned() || !l.yielded.IsZero() {
		return
	}
	promised, earlier := l.quorum.MajorityPromised()
	if !promised {
		return
	}
	r.ownership = ownedByClaim
	if earlier != nil {
		l.proposal = earlier
	}
	if l.proposal != nil {
		n.sendBallot(r)
		return
	}
	n.advance(r)
}

// propose writes the answer before anyone is told it.
func (n *Node) propose(r *run, a outcome.Answer) {
	r.lookUp.proposal = &a
	n.sendBallot(r)
}

func (n *Node) handleAccepted(m remembered.Accepted) {
	r := n.runs[m.Key]
	if r == nil || !r.shared || r.phase != working || r.lookUp.ballot != m.Ballot {
		return
	}
	l := &r.lookUp
	l.quorum.AddAccepted(m)
	if !l.yielded.IsZero() {
		return
	}
	if l.proposal != nil && l.quorum.MajorityAccepted() {
		n.conclude(r, *l.proposal)
	}
}
