package node

import (
	"slices"
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/message"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/ticket"
)

// MaxTicketsPerRequest bounds how many tickets one call hands out.
const MaxTicketsPerRequest = 1000

// issuer identifies the process that issued a ticket.
type issuer = message.TicketIssuer

// ticketTable says who may run which tickets.
type ticketTable struct {
	key      []byte
	sequence uint64
	// own lists the issuers whose tickets this process alone may run, itself
	// first.
	own        []issuer
	successors map[issuer]successor
}

// successor is who owns a stopped process's tickets, and since when.
type successor struct {
	instance ident.Instance
	at       time.Time
}

func newTicketTable(c Config) ticketTable {
	return ticketTable{
		key:        c.TicketKey,
		own:        []issuer{{Instance: c.Seat, Incarnation: c.Incarnation}},
		successors: map[issuer]successor{},
	}
}

// IssueTickets issues ids that only this process will ever run.
func (n *Node) IssueTickets(w ident.Workspace, count int) []ident.RequestID {
	ids := make([]ident.RequestID, 0, min(count, MaxTicketsPerRequest))
	for range min(count, MaxTicketsPerRequest) {
		n.tickets.sequence++
		t := ticket.Ticket{Instance: n.config.Seat, Incarnation: n.config.Incarnation, Sequence: n.tickets.sequence, IssuedAt: n.now()}
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
	by := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
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
	if n.now().Sub(t.IssuedAt) > n.horizon() {
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
		holder:  claim.Holder{Instance: by.Instance, Incarnation: by.Incarnation},
		heard:   n.now(),
		forward: &message.Forward{Submission: r.submission, Incarnation: by.Incarnation, SentAt: n.now()},
	}
	r.follow.target = n.ticketOwner(by)
	n.followTick(r)
}

// ticketOwner returns the instance that owns an issuer's tickets now.
func (n *Node) ticketOwner(by issuer) ident.Instance {
	if s, ok := n.tickets.successors[by]; ok {
		return s.instance
	}
	return by.Instance
}

// collectTicket asks the ticket's owner, or attaches to the answer here.
func (n *Node) collectTicket(r *run) {
	t, err := ticket.Decode(n.tickets.key, r.key.Workspace, r.key.ID)
	if err != nil {
		n.finish(r, outcome.Refused, outcome.BadTicket, err.Error())
		return
	}
	by := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
	if slices.Contains(n.tickets.own, by) {
		n.finish(r, outcome.Lost, outcome.Unknown, "the ticket has not been used, or its answer is older than the resend horizon")
		return
	}
	r.phase = following
	r.follow = followState{target: n.ticketOwner(by), holder: claim.Holder{Instance: by.Instance, Incarnation: by.Incarnation}, heard: n.now()}
	n.followTick(r)
}

// handleForward runs another instance's submission of a ticket owned here.
func (n *Node) handleForward(from ident.Instance, m message.Forward) {
	s := m.Submission
	t, err := ticket.Decode(n.tickets.key, s.Key.Workspace, s.Key.ID)
	if err != nil || n.document == nil {
		return
	}
	by := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
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
	if n.now().Sub(m.SentAt) > followSilence+n.document.ClockSkewMillis.Duration() {
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
	n.sendFinished(f, &run{key: key, answer: outcome.Answer{ID: key.ID, Outcome: outcome.Refused, Reason: reason, ServedBy: n.config.Seat}})
}

// redirect tells a forwarding instance who owns the ticket, or that its owner
// is gone.
func (n *Node) redirect(f follower, key ident.Key, by issuer) {
	if s, ok := n.tickets.successors[by]; ok {
		n.send(f.instance, message.Envelope{Successor: &message.Successor{Stopped: by, NewOwner: s.instance}})
		return
	}
	if n.retired {
		return
	}
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: key, Holder: f.holder, State: message.FollowHolderGone}})
}
