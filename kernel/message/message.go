// Package message defines the messages between instances. Every message is
// one-way and may be lost, delayed, duplicated or reordered; the kernel resends
// messages that need an answer. They are encoded as JSON.
package message

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/placement"
	"anvilcross/kernel/sharedanswer"
)

// Envelope carries one message between two instances: exactly one of the pointer
// fields is set.
type Envelope struct {
	From        ident.Instance    `json:"from"`
	Incarnation ident.Incarnation `json:"incarnation"`
	To          ident.Instance    `json:"to"`

	// Messages of package node.
	Claim         *claim.Request         `json:"claim,omitempty"`
	Vote          *claim.Vote            `json:"vote,omitempty"`
	Release       *Release               `json:"release,omitempty"`
	Settle        *claim.Record          `json:"settle,omitempty"`
	SettleAck     *SettleAck             `json:"settled,omitempty"`
	Prepare       *sharedanswer.Prepare  `json:"prepare,omitempty"`
	Promise       *sharedanswer.Promise  `json:"promise,omitempty"`
	Accept        *sharedanswer.Accept   `json:"accept,omitempty"`
	Accepted      *sharedanswer.Accepted `json:"accepted,omitempty"`
	Register      *claim.Registration    `json:"register,omitempty"`
	Sync          *Sync                  `json:"sync,omitempty"`
	Follow        *Follow                `json:"follow,omitempty"`
	FollowReply   *FollowReply           `json:"followed,omitempty"`
	Forward       *Forward               `json:"forward,omitempty"`
	Blame         *Blame                 `json:"blame,omitempty"`
	Revision      *Revision              `json:"revision,omitempty"`
	Configuration *Configuration         `json:"configuration,omitempty"`
	HandOver      *HandOver              `json:"handOver,omitempty"`
	HandOverAck   *HandOverAck           `json:"handedOver,omitempty"`
	Successor     *Successor             `json:"successor,omitempty"`

	// Messages of package gateway, and of the batcher that is a part of it.
	Ping               *Ping               `json:"ping,omitempty"`
	Records            *Records            `json:"records,omitempty"`
	StageWork          *StageWork          `json:"stageWork,omitempty"`
	StageResults       *StageResults       `json:"stageResults,omitempty"`
	StageInputsFetched *StageInputsFetched `json:"stageTaken,omitempty"`
	StageReservations  *StageReservations  `json:"stageBookings,omitempty"`
	StageRelease       *StageRelease       `json:"stageRelease,omitempty"`
	StageWithdrawal    *StageWithdrawal    `json:"stageWithdrawal,omitempty"`
	PermitRequest      *PermitRequest      `json:"permitRequest,omitempty"`
	PermitReply        *PermitReply        `json:"permitReply,omitempty"`
	PlacementRequest   *placement.Request  `json:"placementRequest,omitempty"`
	PlacementReply     *placement.Reply    `json:"placementReply,omitempty"`
	RecordsRequest     *RecordsRequest     `json:"recordsRequest,omitempty"`
	StreamOrigins      *StreamOrigins      `json:"origins,omitempty"`
	OriginRequest      *OriginRequest      `json:"originRequest,omitempty"`
	OriginReply        *OriginReply        `json:"originReply,omitempty"`
}

// Sync sends a recovering seat what the sender remembers for it. It answers a
// claim.Registration.
type Sync struct {
	Claims  claim.Sync           `json:"claims"`
	Answers []sharedanswer.Entry `json:"answers,omitempty"`
	// PredecessorMemory is set if the previous process of the seat handed its
	// memory over to the sender. It is complete, and the sender no longer keeps
	// it.
	PredecessorMemory *SeatMemory `json:"inherited,omitempty"`
	// CrashReports holds the latest reports of contents that ran on endpoints
	// when those crashed.
	CrashReports []blame.Report `json:"blamed,omitempty"`
}

// Release releases the holder's claim on a key.
type Release struct {
	Key    ident.Key    `json:"key"`
	Holder claim.Holder `json:"holder"`
}

// SettleAck confirms that a seat has received a Settle.
type SettleAck struct {
	Key     ident.Key `json:"key"`
	Attempt uint64    `json:"attempt"`
}

// Follow asks the holder of a key for the request's answer.
type Follow struct {
	Key    ident.Key    `json:"key"`
	Holder claim.Holder `json:"holder"`
}

// FollowState is the state of a request as the holder reports it to a follower.
type FollowState string

// The states of a followed request.
const (
	// FollowRunning means that the answer will be sent once it is known.
	FollowRunning FollowState = "running"
	// FollowFinished means that the message carries the final answer.
	FollowFinished FollowState = "finished"
	// FollowAbandoned means that the holder released the claim without running
	// the request.
	FollowAbandoned FollowState = "abandoned"
	// FollowHolderGone means that the answering process does not know the claim:
	// the holder was replaced.
	FollowHolderGone FollowState = "gone"
)

// FollowReply answers a Follow or a Forward. Answer is set if State is
// FollowFinished.
type FollowReply struct {
	Key    ident.Key       `json:"key"`
	Holder claim.Holder    `json:"holder"`
	State  FollowState     `json:"state"`
	Answer *outcome.Answer `json:"answer,omitempty"`
}

// Submission is a caller's request as it travels between instances.
type Submission struct {
	Key       ident.Key      `json:"key"`
	Pipeline  ident.Pipeline `json:"pipeline"`
	Body      string         `json:"body"`
	FirstSent time.Time      `json:"firstSent,omitzero"`
	// Resend is set if the caller says that it has sent the request before.
	Resend bool `json:"resend,omitempty"`
}

// Digest returns the hash of the submission's pipeline and body.
func (s *Submission) Digest() ident.Digest { return ident.NewDigest(s.Pipeline, s.Body) }

// Forward passes a submission whose id is a ticket on to the ticket's owner.
type Forward struct {
	Submission Submission `json:"submission"`
	// Incarnation is that of the process that issued the ticket.
	Incarnation ident.Incarnation `json:"incarnation"`
	// SentAt is the time of sending by the sender's clock. A message that arrives
	// much later starts nothing, since the caller has got another answer by then.
	SentAt time.Time `json:"sent"`
}

// Blame reports that an endpoint crashed while a content ran on it, or that a
// suspect content finished while it ran isolated on an endpoint.
type Blame struct {
	Report blame.Report `json:"report"`
	// Cleared is set if the content is no longer suspect.
	Cleared bool `json:"cleared,omitempty"`
}

// Revision tells which configuration the sender uses.
type Revision struct {
	Revision ident.ConfigurationRevision `json:"revision"`
	Digest   string                      `json:"digest"`
	// WantsRevision is set if the sender asks for the receiver's revision, or for
	// its configuration if that is newer.
	WantsRevision bool `json:"ask,omitempty"`
}

// Configuration carries an accepted configuration, either the whole document or
// the difference from the one that the receiver has.
type Configuration struct {
	Document *configuration.Document `json:"document,omitempty"`
	Delta    *configuration.Delta    `json:"delta,omitempty"`
}

// FinishedRequest is an answered request in a hand-over.
type FinishedRequest struct {
	Key    ident.Key      `json:"key"`
	Digest ident.Digest   `json:"digest"`
	Answer outcome.Answer `json:"answer"`
}

// TicketIssuer identifies a process that has issued tickets.
type TicketIssuer struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// HandOver makes the receiver the owner of a stopping process's tickets, and
// lets it keep the memory of the process's seat. The sender never runs a request
// and never votes again. The content is split into PartCount parts, numbered from
// 1. The hand-over takes effect when all have arrived.
type HandOver struct {
	From TicketIssuer `json:"from"`
	// Issuers holds the processes whose tickets the sender owned.
	Issuers   []TicketIssuer    `json:"issuers"`
	Part      int               `json:"part"`
	PartCount int               `json:"parts"`
	Finished  []FinishedRequest `json:"finished,omitempty"`
	Memory    SeatMemory        `json:"memory"`
}

// SeatMemory is what a seat remembers, or a part of it. Its records are complete
// from CompleteSince on.
type SeatMemory struct {
	Epoch         ident.Epoch          `json:"epoch"`
	CompleteSince time.Time            `json:"since"`
	Claims        []claim.Record       `json:"claims,omitempty"`
	Answers       []sharedanswer.Entry `json:"answers,omitempty"`
}

// HandOverAck confirms one part of a HandOver, or refuses the whole hand-over
// because the receiver is itself stopping or has no configuration yet.
type HandOverAck struct {
	From    TicketIssuer `json:"from"`
	Part    int          `json:"part"`
	Refused bool         `json:"refused,omitempty"`
}

// Successor tells which instance owns the tickets of a stopped process.
type Successor struct {
	Stopped  TicketIssuer   `json:"of"`
	NewOwner ident.Instance `json:"by"`
}
