package node

import (
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
	"anvilcross/kernel/value"
)

const (
	// handOverPeriod is how often a stopping instance looks whether its
	// requests are done, and repeats unconfirmed messages.
	handOverPeriod = 50 * time.Millisecond
	maxHandOvers   = 20
	// handOverPortion is the number of finished requests in one message.
	handOverPortion = 200
	// MaxTickets bounds how many tickets one call hands out.
	MaxTickets = 1000
)

// issuer identifies the process that issued a ticket.
type issuer struct {
	instance    ident.Instance
	incarnation ident.Incarnation
}

// ticketTable says who may run which tickets.
type ticketTable struct {
	key      []byte
	sequence uint64
	// own lists the issuers whose tickets this process alone may run, itself
	// first.
	own        []issuer
	successors map[issuer]ident.Instance
	received   map[issuer]value.Set[int]
}

func newTicketTable(c Config) ticketTable {
	return ticketTable{
		key:        c.TicketKey,
		own:        []issuer{{c.Seat, c.Incarnation}},
		successors: map[issuer]ident.Instance{},
		received:   map[issuer]value.Set[int]{},
	}
}

// handOver is the progress of a planned stop.
type handOver struct {
	done      func()
	successor ident.Instance
	parts     []message.TicketSuccessor
	kept      value.Set[string]
	tries     int
}

// Tickets issues ids that only this process will ever run.
func (n *Node) Tickets(w ident.Workspace, count int) []ident.RequestID {
	ids := make([]ident.RequestID, 0, min(count, MaxTickets))
	for range min(count, MaxTickets) {
		n.tickets.sequence++
		t := ticket.Ticket{Instance: n.config.Seat, Incarnation: n.config.Incarnation, Sequence: n.tickets.sequence, Issued: n.now()}
		ids = append(ids, ticket.Encode(n.tickets.key, w, t))
	}
	return ids
}

// submitTicket runs a ticket that this process owns and forwards any other to
// its owner. Nobody else ever runs it, so there is no view to agree on.
func (n *Node) submitTicket(w waiter, r *run) {
	t, err := ticket.Decode(n.tickets.key, r.key.Workspace, r.key.ID)
	if err != nil {
		n.refuse(w, r.key.ID, outcome.Refused, outcome.BadTicket, err.Error())
		return
	}
	by := issuer{t.Instance, t.Incarnation}
	if !slices.Contains(n.tickets.own, by) {
		n.begin(w, r)
		n.forward(r, by)
		return
	}
	if !n.startTicket(r, t) {
		n.refuse(w, r.key.ID, r.answer.Outcome, r.answer.Reason, r.answer.Detail)
		return
	}
	n.begin(w, r)
	n.advance(r)
}

// startTicket makes this process the owner of a run, or reports false with
// the answer set.
func (n *Node) startTicket(r *run, t ticket.Ticket) bool {
	if n.now().Sub(t.Issued) > n.horizon() {
		r.answer = outcome.Answer{Outcome: outcome.Lost, Reason: outcome.Unknown, Detail: "the ticket is older than the resend horizon"}
		return false
	}
	r.shed = n.shed(r)
	if r.shed != "" && r.idempotent {
		r.answer = outcome.Answer{Outcome: outcome.Refused, Reason: r.shed}
		return false
	}
	n.newAttempt(r)
	r.ownership = ownedByTicket
	return true
}

func (n *Node) forward(r *run, by issuer) {
	r.phase = following
	r.follow = followState{
		holder:  claim.Holder{Instance: by.instance, Incarnation: by.incarnation},
		heard:   n.now(),
		forward: &message.Forward{Submission: r.submission, Incarnation: by.incarnation},
	}
	r.follow.target = n.ticketOwner(by)
	n.followTick(r)
}

// ticketOwner returns the instance that owns an issuer's tickets now.
func (n *Node) ticketOwner(by issuer) ident.Instance {
	if successor, ok := n.tickets.successors[by]; ok {
		return successor
	}
	return by.instance
}

// collectTicket asks the ticket's owner, or attaches to the answer here.
func (n *Node) collectTicket(r *run) {
	t, err := ticket.Decode(n.tickets.key, r.key.Workspace, r.key.ID)
	if err != nil {
		n.finish(r, outcome.Refused, outcome.BadTicket, err.Error())
		return
	}
	by := issuer{t.Instance, t.Incarnation}
	if slices.Contains(n.tickets.own, by) {
		n.finish(r, outcome.Lost, outcome.Unknown, "the ticket has not been used, or its answer is older than the resend horizon")
		return
	}
	r.phase = following
	r.follow = followState{target: n.ticketOwner(by), holder: claim.Holder{Instance: by.instance, Incarnation: by.incarnation}, heard: n.now()}
	n.followTick(r)
}

// handleForward runs another instance's submission of a ticket owned here.
func (n *Node) handleForward(from ident.Instance, m message.Forward) {
	s := m.Submission
	t, err := ticket.Decode(n.tickets.key, s.Key.Workspace, s.Key.ID)
	if err != nil || n.document == nil {
		return
	}
	by := issuer{t.Instance, t.Incarnation}
	f := follower{instance: from, holder: claim.Holder{Instance: t.Instance, Incarnation: t.Incarnation}}
	if !slices.Contains(n.tickets.own, by) || n.retired {
		n.redirect(f, s.Key, by)
		return
	}
	if r := n.runs[s.Key]; r != nil {
		if r.digest != s.Digest() {
			n.sendRefused(f, s.Key, outcome.IDConflict)
			return
		}
		n.answerFollower(f, r)
		return
	}
	p := n.document.Pipeline(s.Pipeline)
	if p == nil {
		n.sendRefused(f, s.Key, outcome.UnknownPipeline)
		return
	}
	r := n.newRun(s, p)
	if !n.startTicket(r, t) {
		r.answer.ID = s.Key.ID
		n.sendFinished(f, r)
		return
	}
	n.runs[r.key] = r
	n.watch(r)
	n.answerFollower(f, r)
	n.advance(r)
}

func (n *Node) sendRefused(f follower, key ident.Key, reason outcome.Reason) {
	n.sendFinished(f, &run{key: key, answer: outcome.Answer{ID: key.ID, Outcome: outcome.Refused, Reason: reason, Served: n.config.Seat}})
}

// redirect tells a forwarding instance who owns the ticket, or that its owner
// is gone.
func (n *Node) redirect(f follower, key ident.Key, by issuer) {
	if successor, ok := n.tickets.successors[by]; ok {
		n.send(f.instance, message.Envelope{Successor: &message.TicketSuccessor{Instance: by.instance, Incarnation: by.incarnation, Successor: successor}})
		return
	}
	if n.retired {
		return
	}
	n.send(f.instance, message.Envelope{Followed: &message.Followed{Key: key, Holder: f.holder, State: message.Gone}})
}

// BeginDrain makes the node report that it is not ready, so that the balancer
// sends new requests elsewhere.
func (n *Node) BeginDrain() { n.draining = true }

// Stop ends the node without cutting anything off: it finishes what is in
// flight, hands its tickets over and calls done. It is not ready meanwhile.
func (n *Node) Stop(done func()) {
	if n.handOver != nil {
		return
	}
	n.draining = true
	n.handOver = &handOver{done: done, kept: value.NewSet[string]()}
	n.event("stopping", ident.Key{}, "")
	n.stopStep()
}

// Unfinished returns the number of requests without an answer.
func (n *Node) Unfinished() int {
	count := 0
	for _, r := range n.runs {
		if r.phase != done {
			count++
		}
	}
	return count
}

func (n *Node) stopStep() {
	h := n.handOver
	switch {
	case n.Unfinished() > 0:
	case h.successor == "":
		n.startHandOver()
	case len(h.kept) == len(h.parts) || h.tries >= maxHandOvers:
		n.announceSuccessor()
		n.event("stopped", ident.Key{}, string(h.successor))
		h.done()
		return
	default:
		n.sendHandOver()
	}
	n.timers.After(handOverPeriod, n.stopStep)
}

// startHandOver retires this process and names one successor. It never names
// a second one: the first may have taken over although no confirmation came.
func (n *Node) startHandOver() {
	h := n.handOver
	n.retired = true
	h.successor = n.chooseSuccessor()
	if h.successor == "" {
		h.successor = n.config.Seat
		return
	}
	finished := n.finishedTickets()
	parts := max((len(finished)+handOverPortion-1)/handOverPortion, 1)
	for _, by := range n.tickets.own {
		for i := range parts {
			from, to := min(i*handOverPortion, len(finished)), min((i+1)*handOverPortion, len(finished))
			h.parts = append(h.parts, message.TicketSuccessor{
				Instance: by.instance, Incarnation: by.incarnation, Successor: h.successor,
				Part: i + 1, Parts: parts, Finished: finished[from:to],
			})
		}
	}
	n.sendHandOver()
}

// chooseSuccessor prefers an instance of the same data centre.
func (n *Node) chooseSuccessor() ident.Instance {
	var near []ident.Instance
	for _, peer := range n.peers {
		if n.document != nil && n.document.SeatDataCentre(peer) == n.config.DataCentre {
			near = append(near, peer)
		}
	}
	if len(near) == 0 {
		near = n.peers
	}
	if len(near) == 0 {
		return ""
	}
	return near[n.config.Random.IntN(len(near))]
}

func (n *Node) finishedTickets() []message.FinishedRun {
	var list []message.FinishedRun
	for _, r := range n.finished {
		if r.ownership == ownedByTicket && n.runs[r.key] == r {
			list = append(list, message.FinishedRun{Key: r.key, Digest: r.digest, Answer: r.answer})
		}
	}
	return list
}

func partName(by issuer, part int) string {
	return string(by.instance) + "/" + time.Duration(by.incarnation).String() + "/" + time.Duration(part).String()
}

func (n *Node) sendHandOver() {
	h := n.handOver
	h.tries++
	for i := range h.parts {
		p := &h.parts[i]
		if !h.kept.Has(partName(issuer{p.Instance, p.Incarnation}, p.Part)) {
			n.send(h.successor, message.Envelope{Successor: p})
		}
	}
}

func (n *Node) announceSuccessor() {
	h := n.handOver
	if len(h.kept) < len(h.parts) {
		return
	}
	for _, by := range n.tickets.own {
		n.broadcast(message.Envelope{Successor: &message.TicketSuccessor{Instance: by.instance, Incarnation: by.incarnation, Successor: h.successor}})
	}
}

// handleSuccessor takes over a stopping instance's tickets, or notes who did.
func (n *Node) handleSuccessor(from ident.Instance, m message.TicketSuccessor) {
	by := issuer{m.Instance, m.Incarnation}
	if m.Successor != n.config.Seat {
		n.tickets.successors[by] = m.Successor
		n.retarget(by)
		return
	}
	if m.Parts == 0 || n.retired {
		return
	}
	for _, f := range m.Finished {
		n.adoptFinished(f)
	}
	received := n.tickets.received[by]
	if received == nil {
		received = value.NewSet[int]()
		n.tickets.received[by] = received
	}
	received.Add(m.Part)
	if len(received) == m.Parts && !slices.Contains(n.tickets.own, by) {
		n.tickets.own = append(n.tickets.own, by)
		n.event("tookOver", ident.Key{}, string(by.instance))
	}
	n.send(from, message.Envelope{SuccessorKept: &message.SuccessorKept{Instance: m.Instance, Incarnation: m.Incarnation, Part: m.Part}})
}

// adoptFinished keeps an answer for the instance that stopped.
func (n *Node) adoptFinished(f message.FinishedRun) {
	if n.runs[f.Key] != nil {
		return
	}
	r := &run{key: f.Key, digest: f.Digest, phase: done, ownership: ownedByTicket, answer: f.Answer, started: n.now()}
	n.runs[f.Key] = r
	n.finished = append(n.finished, r)
}

// retarget sends waiting forwards to the new owner.
func (n *Node) retarget(by issuer) {
	for _, r := range n.runs {
		if r.phase == following && r.follow.forward != nil && r.follow.holder == (claim.Holder{Instance: by.instance, Incarnation: by.incarnation}) {
			r.follow.target = n.tickets.successors[by]
			r.follow.gone = false
			r.follow.heard = n.now()
		}
	}
}

func (n *Node) handleSuccessorKept(m message.SuccessorKept) {
	if n.handOver != nil {
		n.handOver.kept.Add(partName(issuer{m.Instance, m.Incarnation}, m.Part))
	}
}
