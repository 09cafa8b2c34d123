package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
)

// followHolder releases the run's own claim and waits for the holder's answer.
func (n *Node) followHolder(r *run, h claim.Holder) {
	if r.phase == phaseFollowing {
		return
	}
	n.cancelCall(r)
	n.releaseClaim(r)
	n.timers.Stop(r.claim.timer)
	n.counters.Follows++
	r.phase = phaseFollowing
	r.follow = followState{target: h.Instance, holder: h, lastHeardAt: n.now()}
	n.pollHolder(r)
}

// pollHolder asks the holder and the voting group for the answer, periodically
// until there is one or the holder counts as gone.
func (n *Node) pollHolder(r *run) {
	if r.phase != phaseFollowing {
		return
	}
	f := &r.follow
	silent := n.now().Sub(f.lastHeardAt) >= holderSilenceTimeout
	if f.holderReplaced || silent {
		n.handleHolderGone(r, silent)
		return
	}
	f.timer = n.timers.After(followPeriod, func() { n.pollHolder(r) })
	n.querySeats(r)
	if r.phase != phaseFollowing {
		return
	}
	if f.forward != nil {
		n.send(f.target, message.Envelope{Forward: f.forward})
		return
	}
	n.send(f.target, message.Envelope{Follow: &message.Follow{Key: r.key, Holder: f.holder}})
}

// querySeats asks the key's voting group for a settled answer.
func (n *Node) querySeats(r *run) {
	n.newAttempt(r)
	request := claim.Request{Key: r.key, Digest: r.digest, Holder: r.claim.holder, QueryOnly: true}
	for _, seat := range r.claim.group {
		if r.phase == phaseFollowing && r.claim.holder == request.Holder {
			n.send(seat, message.Envelope{Claim: &request})
		}
	}
}

// handleHolderGone ends the wait for a holder that was replaced or is
// unreachable. An idempotent request is run here without a new claim; any
// other, and a query, ends as lost.
func (n *Node) handleHolderGone(r *run, silent bool) {
	detail := "the instance that took the request was replaced"
	if silent {
		detail = "the instance that took the request is out of reach"
	}
	if r.collectOnly || !n.rules.MayTakeOver(r.idempotent) {
		n.finish(r, outcome.Lost, outcome.HolderGone, detail)
		return
	}
	n.newAttempt(r)
	r.phase = phaseRunning
	r.ownership = ownedByClaim
	n.advance(r)
}

// handleFollow replies to an instance that waits for a request which this
// instance runs or has run. If the attempt was abandoned, some seat has missed
// its release, which is therefore sent again.
func (n *Node) handleFollow(from ident.Instance, m message.Follow) {
	reply := message.FollowReply{Key: m.Key, Holder: m.Holder}
	r := n.runs[m.Key]
	_, abandoned := n.abandonedAttempts[m.Holder.Attempt]
	sameProcess := m.Holder.Incarnation == n.config.Incarnation
	switch {
	case r != nil && r.isOwned() && (sameProcess || r.ownership == ownedByTicket):
		n.answerFollower(follower{instance: from, holder: m.Holder}, r)
		return
	case sameProcess && r != nil && !r.collectOnly && r.claim.holder == m.Holder:
		n.answerFollower(follower{instance: from, holder: m.Holder}, r)
		return
	case sameProcess && abandoned:
		reply.State = message.FollowAbandoned
		n.sendRelease(m.Key, m.Holder, claim.VotingGroup(n.document, m.Key))
	default:
		reply.State = message.FollowHolderGone
	}
	n.send(from, message.Envelope{FollowReply: &reply})
}

// answerFollower sends the answer if there is one. Otherwise it reports that
// the request is running and registers the follower for the answer.
func (n *Node) answerFollower(f follower, r *run) {
	if r.phase == phaseDone {
		n.sendFinished(f, r)
		return
	}
	registered := false
	for _, other := range r.followers {
		registered = registered || other == f
	}
	if !registered {
		r.followers = append(r.followers, f)
	}
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: r.key, Holder: f.holder, State: message.FollowRunning}})
}

func (n *Node) sendFinished(f follower, r *run) {
	answer := r.answer
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: r.key, Holder: f.holder, State: message.FollowFinished, Answer: &answer}})
}

// handleFollowReply passes the holder's reply to the runs that wait for it.
func (n *Node) handleFollowReply(m message.FollowReply) {
	for _, r := range []*run{n.runs[m.Key], n.collectRuns[m.Key]} {
		if r != nil && r.phase == phaseFollowing && r.follow.holder == m.Holder {
			n.applyFollowReply(r, m)
		}
	}
}

func (n *Node) applyFollowReply(r *run, m message.FollowReply) {
	switch m.State {
	case message.FollowRunning:
		r.follow.lastHeardAt = n.now()
	case message.FollowFinished:
		r.adopted = true
		n.conclude(r, *m.Answer)
	case message.FollowAbandoned:
		n.retryClaim(r)
	case message.FollowHolderGone:
		r.follow.holderReplaced = true
	}
}

// retryClaim claims the key again, after a random delay, when the holder has
// abandoned it.
func (n *Node) retryClaim(r *run) {
	if r.collectOnly {
		n.finish(r, outcome.Lost, outcome.Unknown, "no request with this id is known")
		return
	}
	r.claim.retries++
	if r.claim.retries > maxClaimRetries {
		n.abort(r, outcome.ClaimUnconfirmed)
		return
	}
	n.timers.Stop(r.follow.timer)
	n.timers.Stop(r.claim.timer)
	delete(n.runsByAttempt, r.claim.holder.Attempt)
	r.phase = phaseRunning
	delay := n.config.Random.Int64N(int64(claimResendInterval)) + 1
	r.claim.timer = n.timers.After(time.Duration(delay), func() {
		if r.phase == phaseRunning && !r.isOwned() {
			n.startClaim(r)
			n.advance(r)
		}
	})
}

// Collect asks for the answer of an earlier request by its id; any instance
// can be asked. The answer goes to the waiter. Nothing is run.
func (n *Node) Collect(id ident.WaiterID, key ident.Key, stream bool) {
	w := waiter{id: id, stream: stream}
	if n.document == nil {
		n.reject(w, key.ID, outcome.Lost, outcome.NotReady, "this instance is not serving; ask again")
		return
	}
	for _, r := range []*run{n.runs[key], n.collectRuns[key]} {
		if r != nil {
			n.addWaiter(r, w)
			return
		}
	}
	// The request's pipeline is not known; the first one gives the query a
	// deadline.
	r := n.newRun(message.Submission{Key: key}, &n.document.Pipelines[0])
	r.collectOnly = true
	r.waiters = []waiter{w}
	n.collectRuns[key] = r
	n.startDeadlineTimers(r)
	if ticket.HasPrefix(key.ID) {
		n.collectTicket(r)
		return
	}
	n.startClaim(r)
}
