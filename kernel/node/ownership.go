package node

import (
	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
)

// startClaim asks the key's voting group for the sole right to run the
// request.
func (n *Node) startClaim(r *run) {
	n.newAttempt(r)
	r.claim.mayBeHeld = !r.collectOnly
	r.claim.resendInterval = claimResendInterval
	n.sendClaim(r)
}

// newAttempt gives the run's claim a new attempt number, so that late messages
// of an earlier attempt do not count for it.
func (n *Node) newAttempt(r *run) {
	delete(n.runsByAttempt, r.claim.holder.Attempt)
	n.lastAttempt++
	r.claim.group = claim.VotingGroup(n.document, r.key)
	r.claim.tally = claim.NewTally(r.claim.group)
	r.claim.tally.Consistent = n.rules.Consistent
	r.claim.holder = claim.Holder{Instance: n.config.Seat, Incarnation: n.config.Incarnation, Attempt: n.lastAttempt}
	r.claim.startedAt = n.now()
	n.runsByAttempt[n.lastAttempt] = r
}

// sendClaim asks the seats whose vote could still change the decision, and
// repeats that at doubling intervals while the claim is undecided.
func (n *Node) sendClaim(r *run) {
	if r.phase == phaseDone || r.isOwned() || r.phase == phaseFollowing && !r.collectOnly {
		return
	}
	c := &r.claim
	request := claim.Request{Key: r.key, Digest: r.digest, Holder: c.holder, FirstSent: r.submission.FirstSent, QueryOnly: r.collectOnly}
	n.timers.Stop(c.timer)
	c.timer = n.timers.After(c.resendInterval, func() {
		n.sendClaim(r)
		n.advance(r)
	})
	c.resendInterval = min(2*c.resendInterval, maxClaimResendInterval)
	n.counters.Claims++
	for _, seat := range c.tally.SeatsToAsk() {
		if c.holder != request.Holder || r.phase == phaseDone {
			// This instance's own vote has already decided.
			return
		}
		n.send(seat, message.Envelope{Claim: &request})
	}
}

// handleClaim votes on a claim for this instance's seat.
func (n *Node) handleClaim(from ident.Instance, request claim.Request) {
	if n.document == nil || n.retired {
		return
	}
	vote := n.voter.Vote(n.now(), request, claim.VotingGroup(n.document, request.Key))
	n.send(from, message.Envelope{Vote: &vote})
}

// handleSettle records a key's final answer and acknowledges it.
func (n *Node) handleSettle(from ident.Instance, record claim.Record) {
	if n.document == nil || n.retired {
		return
	}
	n.voter.Settle(n.now(), record)
	n.send(from, message.Envelope{SettleAck: &message.SettleAck{Key: record.Key, Attempt: record.Holder.Attempt}})
}

// handleVote counts a vote for the run whose attempt asked for it.
func (n *Node) handleVote(v claim.Vote) {
	r := n.runsByAttempt[v.Attempt]
	if r == nil || r.phase == phaseDone || r.isOwned() || r.key != v.Key {
		return
	}
	r.claim.tally.Add(v)
	decision, record := r.claim.tally.Decide()
	switch decision {
	case claim.AlreadySettled:
		n.adoptSettledAnswer(r, record)
	case claim.Won:
		n.handleClaimWon(r)
	case claim.HeldElsewhere:
		n.handleHeldElsewhere(r, record.Holder)
	case claim.Conflicting:
		n.finish(r, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
	case claim.Unclaimed:
		n.handleUnclaimed(r)
	case claim.Undecidable:
		n.handleUndecidable(r)
	}
}

// handleHeldElsewhere makes the run follow a holder that has a majority.
// Without a majority the run waits until all seats have voted or two resend
// intervals have passed; then it yields unless its seat's name sorts before
// the holder's, so that of two claimers that split the votes one goes on. A
// run whose caller has already got tokens goes on by itself, because the
// holder's stream may differ from the one that was begun.
func (n *Node) handleHeldElsewhere(r *run, h claim.Holder) {
	if r.phase != phaseRunning {
		return
	}
	if h.Instance == n.config.Seat && h.Incarnation == n.config.Incarnation {
		n.releaseStaleClaim(r, h)
		return
	}
	if r.idempotent && !r.collectOnly && r.stageIndex >= r.streamStageIndex && len(r.tokens) > 0 {
		return
	}
	t := r.claim.tally
	if !r.collectOnly && t.CountHeldBy(h) < claim.Majority {
		voteWaitOver := n.now().Sub(r.claim.startedAt) >= 2*claimResendInterval
		if n.config.Seat < h.Instance || !t.AllVoted() && !voteWaitOver {
			return
		}
	}
	n.followHolder(r, h)
}

// releaseStaleClaim releases a key that is held by an earlier attempt of this
// process which was abandoned, because some seat missed the release. If the
// process does not remember that it abandoned the attempt, the request may
// have run.
func (n *Node) releaseStaleClaim(r *run, h claim.Holder) {
	if h == r.claim.holder {
		// A seat that lost its records and synced again may not know which of
		// two holders it had granted the key to; it reports this attempt.
		return
	}
	if _, ok := n.abandonedAttempts[h.Attempt]; ok {
		n.sendRelease(r.key, h, r.claim.group)
		return
	}
	n.finish(r, outcome.Lost, outcome.Unknown, "an earlier sending was handled here and its answer is no longer kept")
}

func (n *Node) handleClaimWon(r *run) {
	if r.phase != phaseRunning || r.collectOnly {
		return
	}
	r.ownership = ownedByClaim
	n.timers.Stop(r.claim.timer)
	n.advance(r)
}

// adoptSettledAnswer ends a run with the answer that another instance settled.
func (n *Node) adoptSettledAnswer(r *run, record *claim.Record) {
	if !r.collectOnly && record.Digest != r.digest {
		n.finish(r, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
		return
	}
	n.counters.Adopted++
	r.adopted = true
	n.conclude(r, *record.Answer)
}

func (n *Node) handleUnclaimed(r *run) {
	if r.collectOnly && r.phase == phaseRunning {
		n.finish(r, outcome.Lost, outcome.Unknown, "no request with this id is known")
	}
}

// handleUndecidable ends a query that all seats answered without a majority. A
// claim keeps asking, because seats may sync before the deadline.
func (n *Node) handleUndecidable(r *run) {
	if r.collectOnly && r.phase == phaseRunning {
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "nothing is remembered of this id, but the memory of those who would know does not reach back over the resend horizon")
	}
}

// releaseClaim releases the run's claim at all seats. The attempt is
// remembered as abandoned, so that a seat that missed the message can be told
// again.
func (n *Node) releaseClaim(r *run) {
	c := &r.claim
	if !c.mayBeHeld {
		return
	}
	c.mayBeHeld = false
	n.abandonedAttempts[c.holder.Attempt] = n.now()
	delete(n.runsByAttempt, c.holder.Attempt)
	n.sendRelease(r.key, c.holder, c.group)
}

func (n *Node) sendRelease(key ident.Key, h claim.Holder, group []ident.Instance) {
	for _, seat := range group {
		n.send(seat, message.Envelope{Release: &message.Release{Key: key, Holder: h}})
	}
}
