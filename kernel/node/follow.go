package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
)

// follow gives up the own claim and waits for the holder's answer.
func (n *Node) follow(r *run, h claim.Holder) {
	if r.phase == following {
		return
	}
	n.cancelCall(r)
	n.release(r)
	n.timers.Stop(r.claim.timer)
	n.counters.Follows++
	r.phase = following
	r.follow = followState{target: h.Instance, holder: h, heard: n.now()}
	n.followTick(r)
}

// followTick asks the holder for the answer and the seats whether they have
// it, until there is one or the holder counts as gone.
func (n *Node) followTick(r *run) {
	if r.phase != following {
		return
	}
	f := &r.follow
	silent := n.now().Sub(f.heard) >= followSilence
	if f.gone || silent {
		n.holderGone(r, silent)
		return
	}
	f.timer = n.timers.After(followPeriod, func() { n.followTick(r) })
	n.query(r)
	if r.phase != following {
		return
	}
	if f.forward != nil {
		n.send(f.target, message.Envelope{Forward: f.forward})
		return
	}
	n.send(f.target, message.Envelope{Follow: &message.Follow{Key: r.key, Holder: f.holder}})
}

// query asks the key's seats for a settled answer.
func (n *Node) query(r *run) {
	n.newAttempt(r)
	request := claim.Request{Key: r.key, Digest: r.digest, Holder: r.claim.holder, QueryOnly: true}
	for _, seat := range r.claim.group {
		if r.phase == following && r.claim.holder == request.Holder {
			n.send(seat, message.Envelope{Claim: &request})
		}
	}
}

// holderGone ends the wait for a holder that was replaced or is out of reach.
func (n *Node) holderGone(r *run, silent bool) {
	detail := "the instance that took the request was replaced"
	if silent {
		detail = "the instance that took the request is out of reach"
	}
	if r.collecting || !n.rules.MayTakeOver(r.idempotent) {
		n.finish(r, outcome.Lost, outcome.HolderGone, detail)
		return
	}
	n.newAttempt(r)
	r.phase = working
	r.ownership = ownedByClaim
	n.advance(r)
}

// handleFollow answers for a request that this instance runs or has run.
func (n *Node) handleFollow(from ident.Instance, m message.Follow) {
	reply := message.FollowReply{Key: m.Key, Holder: m.Holder}
	r := n.runs[m.Key]
	_, abandoned := n.abandoned[m.Holder.Attempt]
	mine := m.Holder.Incarnation == n.config.Incarnation
	switch {
	case r != nil && r.owned() && (mine || r.ownership == ownedByTicket):
		n.answerFollower(follower{instance: from, holder: m.Holder}, r)
		return
	case mine && r != nil && !r.collecting && r.claim.holder == m.Holder:
		n.answerFollower(follower{instance: from, holder: m.Holder}, r)
		return
	case mine && abandoned:
		reply.State = message.FollowAbandoned
		n.sendRelease(m.Key, m.Holder, claim.VotingGroup(n.document, m.Key))
	default:
		reply.State = message.FollowHolderGone
	}
	n.send(from, message.Envelope{FollowReply: &reply})
}

// answerFollower sends the answer, or a sign of life and later the answer.
func (n *Node) answerFollower(f follower, r *run) {
	if r.phase == done {
		n.sendFinished(f, r)
		return
	}
	known := false
	for _, other := range r.followers {
		known = known || other == f
	}
	if !known {
		r.followers = append(r.followers, f)
	}
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: r.key, Holder: f.holder, State: message.FollowRunning}})
}

func (n *Node) sendFinished(f follower, r *run) {
	answer := r.answer
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: r.key, Holder: f.holder, State: message.FollowFinished, Answer: &answer}})
}

// handleFollowed takes the holder's reply.
func (n *Node) handleFollowed(m message.FollowReply) {
	for _, r := range []*run{n.runs[m.Key], n.collects[m.Key]} {
		if r != nil && r.phase == following && r.follow.holder == m.Holder {
			n.followed(r, m)
		}
	}
}

func (n *Node) followed(r *run, m message.FollowReply) {
	switch m.State {
	case message.FollowRunning:
		r.follow.heard = n.now()
	case message.FollowFinished:
		r.adopted = true
		n.conclude(r, *m.Answer)
	case message.FollowAbandoned:
		n.reclaim(r)
	case message.FollowHolderGone:
		r.follow.gone = true
	}
}

// reclaim asks for the key again after its holder gave it up.
func (n *Node) reclaim(r *run) {
	if r.collecting {
		n.finish(r, outcome.Lost, outcome.Unknown, "no request with this id is known")
		return
	}
	r.claim.reclaims++
	if r.claim.reclaims > maxReclaims {
		n.abort(r, outcome.ClaimUnconfirmed)
		return
	}
	n.timers.Stop(r.follow.timer)
	n.timers.Stop(r.claim.timer)
	delete(n.attempts, r.claim.holder.Attempt)
	r.phase = working
	pause := n.config.Random.Int64N(int64(claimResend)) + 1
	r.claim.timer = n.timers.After(time.Duration(pause), func() {
		if r.phase == working && !r.owned() {
			n.startClaim(r)
			n.advance(r)
		}
	})
}

// Collect asks for the answer of a request by its id at any instance.
func (n *Node) Collect(id ident.WaiterID, key ident.Key, stream bool) {
	w := waiter{id: id, stream: stream}
	if n.document == nil {
		n.refuse(w, key.ID, outcome.Lost, outcome.NotReady, "this instance is not serving; ask again")
		return
	}
	for _, r := range []*run{n.runs[key], n.collects[key]} {
		if r != nil {
			n.attach(r, w)
			return
		}
	}
	r := n.newRun(message.Submission{Key: key}, &n.document.Pipelines[0])
	r.collecting = true
	r.waiters = []waiter{w}
	n.collects[key] = r
	n.watch(r)
	if ticket.HasPrefix(key.ID) {
		n.collectTicket(r)
		return
	}
	n.startClaim(r)
}
