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

// MaxTicketsPerRequest bounds the tickets that a caller gets at once.
const MaxTicketsPerRequest = 1000

// issuer identifies the process that issued some tickets.
type issuer = message.TicketIssuer

// ticketTable holds which process may run which tickets.
type ticketTable struct {
	key []byte
	// sequence is the number of the latest ticket.
	sequence uint64
	// ownedIssuers lists the issuers whose tickets only this process may run,
	// itself first.
	ownedIssuers []issuer
	successors   map[issuer]successor
}

// successor is the instance that took over a stopped process's tickets, and
// when this was learnt.
type successor struct {
	instance ident.Instance
	since    time.Time
}

func newTicketTable(c Config) ticketTable {
	return ticketTable{
		key:          c.TicketKey,
		ownedIssuers: []issuer{{Instance: c.Seat, Incarnation: c.Incarnation}},
		successors:   map[issuer]successor{},
	}
}

// IssueTickets returns new ids that only this process may run, at most
// MaxTicketsPerRequest.
func (n *Node) IssueTickets(w ident.Workspace, count int) []ident.RequestID {
	ids := make([]ident.RequestID, 0, min(count, MaxTicketsPerRequest))
	for range min(count, MaxTicketsPerRequest) {
		n.tickets.sequence++
		t := ticket.Ticket{Instance: n.config.Seat, Incarnation: n.config.Incarnation, Sequence: n.tickets.sequence, IssuedAt: n.now()}
		ids = append(ids, ticket.Encode(n.tickets.key, w, t))
	}
	return ids
}

// submitTicket runs a ticket that this process owns, and forwards any other to
// its owner. Only the owner ever runs a ticket, so no votes are needed.
func (n *Node) submitTicket(w waiter, r *run) {
	t, err := ticket.Decode(n.tickets.key, r.key.Workspace, r.key.ID)
	if err != nil {
		n.reject(w, r.key.ID, outcome.Refused, outcome.BadTicket, err.Error())
		return
	}
	issuedBy := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
	if !slices.Contains(n.tickets.ownedIssuers, issuedBy) {
		n.addRun(w, r)
		n.forwardToOwner(r, issuedBy)
		return
	}
	if !n.ownTicketRun(r, t) {
		n.reject(w, r.key.ID, r.answer.Outcome, r.answer.Reason, r.answer.Detail)
		return
	}
	n.addRun(w, r)
	n.advance(r)
}

// ownTicketRun makes this process the owner of a ticket's run. If the request
// has to be refused, it sets the run's answer and returns false.
func (n *Node) ownTicketRun(r *run, t ticket.Ticket) bool {
	if n.now().Sub(t.IssuedAt) > n.resendHorizon() {
		r.answer = outcome.Answer{Outcome: outcome.Lost, Reason: outcome.Unknown, Detail: "the ticket is older than the resend horizon"}
		return false
	}
	r.refusal = n.admitOrRefuse(r)
	if r.refusal != "" && r.idempotent {
		r.answer = outcome.Answer{Outcome: outcome.Refused, Reason: r.refusal}
		return false
	}
	n.newAttempt(r)
	r.ownership = ownedByTicket
	return true
}

// forwardToOwner makes the run wait for the answer of the ticket's owner,
// which has to run it.
func (n *Node) forwardToOwner(r *run, issuedBy issuer) {
	r.phase = phaseFollowing
	r.follow = followState{
		holder:      claim.Holder{Instance: issuedBy.Instance, Incarnation: issuedBy.Incarnation},
		lastHeardAt: n.now(),
		forward:     &message.Forward{Submission: r.submission, Incarnation: issuedBy.Incarnation, SentAt: n.now()},
	}
	r.follow.target = n.ticketOwner(issuedBy)
	n.pollHolder(r)
}

// ticketOwner returns the instance that now owns an issuer's tickets.
func (n *Node) ticketOwner(issuedBy issuer) ident.Instance {
	if s, ok := n.tickets.successors[issuedBy]; ok {
		return s.instance
	}
	return issuedBy.Instance
}

// collectTicket asks the ticket's owner for the answer. For a ticket that is
// owned here there is none, because Collect found no run of it.
func (n *Node) collectTicket(r *run) {
	t, err := ticket.Decode(n.tickets.key, r.key.Workspace, r.key.ID)
	if err != nil {
		n.finish(r, outcome.Refused, outcome.BadTicket, err.Error())
		return
	}
	issuedBy := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
	if slices.Contains(n.tickets.ownedIssuers, issuedBy) {
		n.finish(r, outcome.Lost, outcome.Unknown, "the ticket has not been used, or its answer is older than the resend horizon")
		return
	}
	r.phase = phaseFollowing
	r.follow = followState{target: n.ticketOwner(issuedBy), holder: claim.Holder{Instance: issuedBy.Instance, Incarnation: issuedBy.Incarnation}, lastHeardAt: n.now()}
	n.pollHolder(r)
}

// handleForward runs a ticket that another instance has forwarded to its
// owner. A forward that arrives late starts nothing, because its caller may
// have been told something else by then.
func (n *Node) handleForward(from ident.Instance, m message.Forward) {
	s := m.Submission
	t, err := ticket.Decode(n.tickets.key, s.Key.Workspace, s.Key.ID)
	if err != nil || n.document == nil {
		return
	}
	issuedBy := issuer{Instance: t.Instance, Incarnation: t.Incarnation}
	f := follower{instance: from, holder: claim.Holder{Instance: t.Instance, Incarnation: t.Incarnation}}
	if !slices.Contains(n.tickets.ownedIssuers, issuedBy) || n.retired {
		n.redirect(f, s.Key, issuedBy)
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
	if n.now().Sub(m.SentAt) > holderSilenceTimeout+n.document.ClockSkewMillis.Duration() {
		return
	}
	p := n.document.Pipeline(s.Pipeline)
	if p == nil {
		n.sendRefused(f, s.Key, outcome.UnknownPipeline)
		return
	}
	r := n.newRun(s, p)
	if !n.ownTicketRun(r, t) {
		r.answer.ID = s.Key.ID
		n.sendFinished(f, r)
		return
	}
	n.runs[r.key] = r
	n.startDeadlineTimers(r)
	n.answerFollower(f, r)
	n.advance(r)
}

func (n *Node) sendRefused(f follower, key ident.Key, reason outcome.Reason) {
	n.sendFinished(f, &run{key: key, answer: outcome.Answer{ID: key.ID, Outcome: outcome.Refused, Reason: reason, ServedBy: n.config.Seat}})
}

// redirect tells a forwarding instance who owns the ticket now, or that its
// owner is gone.
func (n *Node) redirect(f follower, key ident.Key, issuedBy issuer) {
	if s, ok := n.tickets.successors[issuedBy]; ok {
		n.send(f.instance, message.Envelope{Successor: &message.Successor{Stopped: issuedBy, NewOwner: s.instance}})
		return
	}
	if n.retired {
		return
	}
	n.send(f.instance, message.Envelope{FollowReply: &message.FollowReply{Key: key, Holder: f.holder, State: message.FollowHolderGone}})
}
