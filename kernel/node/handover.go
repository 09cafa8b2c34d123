package node

import (
	"cmp"
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/ticket"
	"anvilcross/kernel/value"
)

const (
	// handOverPeriod is how often a stopping instance checks whether its
	// requests have finished, and repeats unacknowledged messages.
	handOverPeriod   = 50 * time.Millisecond
	maxHandOverSends = 20
	// maxHandOverPartEntries bounds the entries of each kind in one message.
	maxHandOverPartEntries = 200
	// recentlyHeardAge is how recent the last message of a peer must be for it
	// to be preferred as the successor.
	recentlyHeardAge = 5 * time.Second
)

// handOver is the state of this instance's graceful shutdown.
type handOver struct {
	done              func()
	successor         ident.Instance
	refusedBy         value.Set[ident.Instance]
	parts             []message.HandOver
	acknowledgedParts value.Set[int]
	sends             int
}

// receivedHandOver holds what a stopped process has handed over to this
// instance: its tickets, and its seat's memory, that is the claim records and
// the shared answers.
type receivedHandOver struct {
	issuers    []issuer
	memory     message.SeatMemory
	parts      value.Set[int]
	complete   bool
	receivedAt time.Time
}

// BeginDrain makes the node report that it is not ready, so that the load
// balancer sends new requests elsewhere.
func (n *Node) BeginDrain() { n.draining = true }

// BeginShutdown starts a graceful shutdown: the node is no longer ready, waits
// for its unfinished requests, hands over its tickets and its seat's memory, and
// then calls done.
func (n *Node) BeginShutdown(done func()) {
	if n.handOver != nil {
		return
	}
	n.draining = true
	n.handOver = &handOver{done: done, acknowledgedParts: value.NewSet[int](), refusedBy: value.NewSet[ident.Instance]()}
	n.logEvent("stopping", ident.Key{}, "")
	n.advanceShutdown()
}

// UnfinishedRequests returns the number of requests without an answer.
func (n *Node) UnfinishedRequests() int {
	count := 0
	for _, r := range n.runs {
		if r.phase != phaseDone {
			count++
		}
	}
	return count
}

// advanceShutdown does the next step of the graceful shutdown, and repeats that
// until the hand-over is acknowledged or has been sent maxHandOverSends times.
func (n *Node) advanceShutdown() {
	h := n.handOver
	switch {
	case n.UnfinishedRequests() > 0 && !n.retired:
	case h.successor == "":
		n.startHandOver()
	case len(h.acknowledgedParts) == len(h.parts) || h.sends >= maxHandOverSends:
		n.announceSuccessor()
		n.logEvent("stopped", ident.Key{}, string(h.successor))
		h.done()
		return
	default:
		n.sendHandOver()
	}
	n.timers.After(handOverPeriod, n.advanceShutdown)
}

// startHandOver retires this process and chooses a successor. It is called
// again only after a refusal: a successor that did not reply may have taken
// over already, and a second one must not.
func (n *Node) startHandOver() {
	h := n.handOver
	n.retired = true
	h.successor = n.chooseSuccessor()
	h.sends = 0
	if h.successor == "" {
		// All other instances are stopping too. With the own seat as successor
		// and no parts, advanceShutdown ends without a hand-over.
		h.successor = n.config.Seat
		h.parts = nil
		h.acknowledgedParts = value.NewSet[int]()
		return
	}
	if h.parts == nil {
		h.parts = n.handOverParts()
	}
	n.sendHandOver()
}

// chooseSuccessor picks a random peer among the best candidates: those heard
// from recently come first, then those in the same data centre. It returns "" if
// all have refused.
func (n *Node) chooseSuccessor() ident.Instance {
	candidates := []ident.Instance{}
	bestScore := 0
	for _, peer := range n.peers {
		if n.handOver.refusedBy.Has(peer) {
			continue
		}
		score := 1
		if n.now().Sub(n.lastHeardAt[peer]) < recentlyHeardAge {
			score += 2
		}
		if n.document.SeatDataCentre(peer) == n.config.DataCentre {
			score++
		}
		if score > bestScore {
			candidates, bestScore = nil, score
		}
		if score == bestScore {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[n.config.Random.IntN(len(candidates))]
}

// handOverParts splits everything that is handed over into messages of bounded
// size.
func (n *Node) handOverParts() []message.HandOver {
	finished := n.finishedTicketRequests()
	claims := n.voter.Records()
	answers := n.sharedAnswers.EntriesMatching(func(ident.Key) bool { return true })
	count := max(partCount(len(finished)), partCount(len(claims)), partCount(len(answers)), 1)
	parts := make([]message.HandOver, count)
	for i := range parts {
		parts[i] = message.HandOver{
			From:      issuer{Instance: n.config.Seat, Incarnation: n.config.Incarnation},
			Issuers:   n.tickets.ownedIssuers,
			Part:      i + 1,
			PartCount: count,
			Finished:  partEntries(finished, i),
			Memory: message.SeatMemory{
				Epoch:         n.voter.Epoch(),
				CompleteSince: n.voter.CompleteSince(),
				Claims:        partEntries(claims, i),
				Answers:       partEntries(answers, i),
			},
		}
	}
	return parts
}

func partCount(n int) int { return (n + maxHandOverPartEntries - 1) / maxHandOverPartEntries }

func partEntries[T any](all []T, i int) []T {
	return all[min(i*maxHandOverPartEntries, len(all)):min((i+1)*maxHandOverPartEntries, len(all))]
}

// finishedTicketRequests returns the requests with tickets that this process
// owned and finished, with their answers.
func (n *Node) finishedTicketRequests() []message.FinishedRequest {
	var list []message.FinishedRequest
	for _, r := range n.finishedRuns {
		if r.ownership == ownedByTicket && n.runs[r.key] == r {
			list = append(list, message.FinishedRequest{Key: r.key, Digest: r.digest, Answer: r.answer})
		}
	}
	return list
}

func (n *Node) sendHandOver() {
	h := n.handOver
	h.sends++
	for i := range h.parts {
		if !h.acknowledgedParts.Has(h.parts[i].Part) {
			n.send(h.successor, message.Envelope{HandOver: &h.parts[i]})
		}
	}
}

// announceSuccessor tells all other instances who owns this process's tickets
// now, if the hand-over was acknowledged in full.
func (n *Node) announceSuccessor() {
	h := n.handOver
	if len(h.parts) == 0 || len(h.acknowledgedParts) < len(h.parts) {
		return
	}
	for _, issuedBy := range n.tickets.ownedIssuers {
		n.broadcast(message.Envelope{Successor: &message.Successor{Stopped: issuedBy, NewOwner: h.successor}})
	}
}

func (n *Node) handleHandOverAck(from ident.Instance, m message.HandOverAck) {
	h := n.handOver
	if h == nil || from != h.successor {
		return
	}
	if m.Refused {
		// The next successor needs all parts, also those that this one has
		// acknowledged before.
		h.refusedBy.Add(from)
		h.successor = ""
		h.acknowledgedParts = value.NewSet[int]()
		return
	}
	h.acknowledgedParts.Add(m.Part)
}

// handleHandOver takes over a stopping instance's tickets, and keeps its
// seat's memory for the seat's next process.
func (n *Node) handleHandOver(from ident.Instance, m message.HandOver) {
	h := n.receivedHandOvers[m.From]
	alreadyTaken := h != nil && h.complete
	if !alreadyTaken && (n.draining || n.document == nil) {
		// A hand-over that has already been taken over completely is not
		// refused, because the sender would choose a second owner for its
		// tickets.
		n.send(from, message.Envelope{HandOverAck: &message.HandOverAck{From: m.From, Refused: true}})
		return
	}
	for _, finished := range m.Finished {
		n.adoptFinished(finished)
	}
	if h == nil {
		h = &receivedHandOver{issuers: m.Issuers, memory: message.SeatMemory{Epoch: m.Memory.Epoch, CompleteSince: m.Memory.CompleteSince}, parts: value.NewSet[int](), receivedAt: n.now()}
		n.receivedHandOvers[m.From] = h
	}
	if !h.parts.Has(m.Part) {
		h.parts.Add(m.Part)
		h.memory.Claims = append(h.memory.Claims, m.Memory.Claims...)
		h.memory.Answers = append(h.memory.Answers, m.Memory.Answers...)
	}
	if len(h.parts) == m.PartCount && !h.complete {
		h.complete = true
		n.takeOverTickets(h.issuers)
		n.logEvent("tookOver", ident.Key{}, string(m.From.Instance))
	}
	n.send(from, message.Envelope{HandOverAck: &message.HandOverAck{From: m.From, Part: m.Part}})
}

// takeOverTickets makes this process the owner of other issuers' tickets, and
// runs the requests that were being forwarded to the previous owner.
func (n *Node) takeOverTickets(issuers []issuer) {
	for _, issuedBy := range issuers {
		if !slices.Contains(n.tickets.ownedIssuers, issuedBy) {
			n.tickets.ownedIssuers = append(n.tickets.ownedIssuers, issuedBy)
			n.runForwardedTickets(issuedBy)
		}
	}
}

// dropExpiredHandOvers drops hand-overs whose tickets have expired and whose
// records are of no more use.
func (n *Node) dropExpiredHandOvers(retention time.Duration) {
	for from, h := range n.receivedHandOvers {
		if n.now().Sub(h.receivedAt) <= retention {
			continue
		}
		delete(n.receivedHandOvers, from)
		n.tickets.ownedIssuers = slices.DeleteFunc(n.tickets.ownedIssuers, func(issuedBy issuer) bool {
			return issuedBy.Incarnation != n.config.Incarnation && slices.Contains(h.issuers, issuedBy)
		})
	}
	for issuedBy, s := range n.tickets.successors {
		if n.now().Sub(s.since) > retention {
			delete(n.tickets.successors, issuedBy)
		}
	}
}

// takePredecessorMemory returns the memory that the previous process of a seat
// handed over to this instance, or nil. It returns the records only once.
func (n *Node) takePredecessorMemory(seat ident.Instance, epoch ident.Epoch) *message.SeatMemory {
	for from, h := range n.receivedHandOvers {
		if from.Instance == seat && h.complete && h.memory.Epoch == epoch-1 {
			memory := h.memory
			h.memory = message.SeatMemory{}
			return &memory
		}
	}
	return nil
}

func (n *Node) handleSuccessor(m message.Successor) {
	if m.NewOwner != n.config.Seat {
		n.tickets.successors[m.Stopped] = successor{instance: m.NewOwner, since: n.now()}
		n.retargetForwards(m.Stopped)
	}
}

// adoptFinished takes over an answer from a stopping instance. An answer that
// this instance only knew as a follower becomes its own; otherwise the next
// hand-over would lack it, and the ticket would run again.
func (n *Node) adoptFinished(f message.FinishedRequest) {
	known := n.runs[f.Key]
	if known != nil && known.isOwned() {
		return
	}
	if known != nil && known.phase != phaseDone {
		known.adopted = true
		n.conclude(known, f.Answer)
	}
	r := &run{key: f.Key, digest: f.Digest, phase: phaseDone, ownership: ownedByTicket, answer: f.Answer, startedAt: n.now()}
	n.runs[f.Key] = r
	n.finishedRuns = append(n.finishedRuns, r)
}

// runForwardedTickets runs the requests that were being forwarded to an owner
// whose tickets this process has just taken over.
func (n *Node) runForwardedTickets(issuedBy issuer) {
	for _, key := range n.forwardedKeys(issuedBy) {
		r := n.runs[key]
		t, err := ticket.Decode(n.tickets.key, key.Workspace, key.ID)
		if err != nil {
			continue
		}
		n.timers.Stop(r.follow.timer)
		r.phase = phaseRunning
		if !n.ownTicketRun(r, t) {
			n.finish(r, r.answer.Outcome, r.answer.Reason, r.answer.Detail)
			continue
		}
		n.advance(r)
	}
}

// forwardedKeys returns the keys of the requests that are forwarded to the
// owner of an issuer's tickets, in a fixed order.
func (n *Node) forwardedKeys(issuedBy issuer) []ident.Key {
	holder := claim.Holder{Instance: issuedBy.Instance, Incarnation: issuedBy.Incarnation}
	var keys []ident.Key
	for key, r := range n.runs {
		if r.phase == phaseFollowing && r.follow.forward != nil && r.follow.holder == holder {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b ident.Key) int { return cmp.Compare(a.String(), b.String()) })
	return keys
}

// retargetForwards directs the forwarded requests of an issuer's tickets to
// their new owner.
func (n *Node) retargetForwards(issuedBy issuer) {
	for _, key := range n.forwardedKeys(issuedBy) {
		f := &n.runs[key].follow
		f.target = n.tickets.successors[issuedBy].instance
		f.holderReplaced = false
		f.forward.SentAt = n.now()
		f.lastHeardAt = n.now()
	}
}
