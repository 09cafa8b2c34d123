package node

import (
	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
)

// startClaim asks the key's seats for the right to run it.
func (n *Node) startClaim(r *run) {
	n.newAttempt(r)
	r.claim.asked = !r.collecting
	r.claim.pause = claimResend
	n.sendClaim(r)
}

// newAttempt gives the run's claim a fresh identity, so that no message of
// the one before can count for it.
func (n *Node) newAttempt(r *run) {
	delete(n.attempts, r.claim.holder.Attempt)
	n.attempt++
	r.claim.group = claim.VotingGroup(n.document, r.key)
	r.claim.tally = claim.NewTally(r.claim.group)
	r.claim.tally.Consistent = n.rules.Consistent
	r.claim.holder = claim.Holder{Instance: n.config.Seat, Incarnation: n.config.Incarnation, Attempt: n.attempt}
	r.claim.since = n.now()
	n.attempts[n.attempt] = r
}

// sendClaim asks the seats whose vote is missing and repeats that while the
// claim is undecided.
func (n *Node) sendClaim(r *run) {
	if r.phase == done || r.owned() || r.phase == following && !r.collecting {
		return
	}
	c := &r.claim
	request := claim.Request{Key: r.key, Digest: r.digest, Holder: c.holder, FirstSent: r.submission.FirstSent, QueryOnly: r.collecting}
	n.timers.Stop(c.timer)
	c.timer = n.timers.After(c.pause, func() {
		n.sendClaim(r)
		n.advance(r)
	})
	c.pause = min(2*c.pause, claimResendMax)
	n.counters.Claims++
	for _, seat := range c.tally.SeatsToAsk() {
		if c.holder != request.Holder || r.phase == done {
			// The own seat's vote has already decided.
			return
		}
		n.send(seat, message.Envelope{Claim: &request})
	}
}

// handleClaim votes for this instance's seat.
func (n *Node) handleClaim(from ident.Instance, request claim.Request) {
	if n.document == nil || n.retired {
		return
	}
	vote := n.memory.Vote(n.now(), request, claim.VotingGroup(n.document, request.Key))
	n.send(from, message.Envelope{Vote: &vote})
}

func (n *Node) handleSettle(from ident.Instance, record claim.Record) {
	if n.document == nil || n.retired {
		return
	}
	n.memory.Settle(n.now(), record)
	n.send(from, message.Envelope{SettleAck: &message.SettleAck{Key: record.Key, Attempt: record.Holder.Attempt}})
}

// handleVote counts a vote for a run that waits for it.
func (n *Node) handleVote(v claim.Vote) {
	r := n.attempts[v.Attempt]
	if r == nil || r.phase == done || r.owned() || r.key != v.Key {
		return
	}
	r.claim.tally.Add(v)
	decision, record := r.claim.tally.Decide()
	switch decision {
	case claim.AlreadySettled:
		n.adopt(r, record)
	case claim.Won:
		n.win(r)
	case claim.HeldElsewhere:
		n.heldElsewhere(r, record.Holder)
	case claim.Conflicting:
		n.finish(r, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
	case claim.Unclaimed:
		n.unclaimed(r)
	case claim.Undecidable:
		n.undecidable(r)
	}
}

// heldElsewhere follows another claimer that has a majority. While neither
// has one, all votes are awaited; if they are split, the claimer whose seat
// ranks first goes on and the others yield. A run whose caller already sees
// its tokens goes on by itself, since two streams may differ.
func (n *Node) heldElsewhere(r *run, h claim.Holder) {
	if r.phase != working {
		return
	}
	if h.Instance == n.config.Seat && h.Incarnation == n.config.Incarnation {
		n.ownOldClaim(r, h)
		return
	}
	if r.idempotent && !r.collecting && r.stage >= r.streamStage && len(r.tokens) > 0 {
		return
	}
	t := r.claim.tally
	if !r.collecting && t.CountHeldBy(h) < claim.Majority {
		waited := n.now().Sub(r.claim.since) >= 2*claimResend
		if n.config.Seat < h.Instance || !t.AllVoted() && !waited {
			return
		}
	}
	n.follow(r, h)
}

// ownOldClaim frees a key from an attempt that this process gave up, whose
// release a seat has not seen. An attempt that it does not remember giving up
// may have run.
func (n *Node) ownOldClaim(r *run, h claim.Holder) {
	if h == r.claim.holder {
		// A recovered seat that does not know which of two it had granted.
		return
	}
	if _, ok := n.abandoned[h.Attempt]; ok {
		n.sendRelease(r.key, h, r.claim.group)
		return
	}
	n.finish(r, outcome.Lost, outcome.Unknown, "an earlier sending was handled here and its answer is no longer kept")
}

func (n *Node) win(r *run) {
	if r.phase != working || r.collecting {
		return
	}
	r.ownership = ownedByClaim
	n.timers.Stop(r.claim.timer)
	n.advance(r)
}

// adopt ends a run with the answer that another instance settled.
func (n *Node) adopt(r *run, record *claim.Record) {
	if !r.collecting && record.Digest != r.digest {
		n.finish(r, outcome.Refused, outcome.IDConflict, "the id was used with another pipeline or body")
		return
	}
	n.counters.Adopted++
	r.adopted = true
	n.conclude(r, *record.Answer)
}

func (n *Node) unclaimed(r *run) {
	if r.collecting && r.phase == working {
		n.finish(r, outcome.Lost, outcome.Unknown, "no request with this id is known")
	}
}

// undecidable ends a question whose seats all answered. A claim goes on
// asking: the seats may recover before the deadline.
func (n *Node) undecidable(r *run) {
	if r.collecting && r.phase == working {
		n.finish(r, outcome.Lost, outcome.ClaimUnconfirmed, "nothing is remembered of this id, but the memory of those who would know does not reach back over the resend horizon")
	}
}

// release gives up the run's claim at all seats. Its attempt is remembered as
// abandoned, so that a seat that missed the message can be told again.
func (n *Node) release(r *run) {
	c := &r.claim
	if !c.asked {
		return
	}
	c.asked = false
	n.abandoned[c.holder.Attempt] = n.now()
	delete(n.attempts, c.holder.Attempt)
	n.sendRelease(r.key, c.holder, c.group)
}

func (n *Node) sendRelease(key ident.Key, h claim.Holder, group []ident.Instance) {
	for _, seat := range group {
		n.send(seat, message.Envelope{Release: &message.Release{Key: key, Holder: h}})
	}
}
