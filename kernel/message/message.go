// Package message defines what instances say to each other. Every message is
// one-way and may be lost, delayed, doubled or overtaken; the kernel repeats
// what needs an answer. The wire form is JSON.
package message

import (
	"time"

	"anvilcross/kernel/blame"
	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
	"anvilcross/kernel/remembered"
)

// Envelope carries exactly one message between two instances.
type Envelope struct {
	From        ident.Instance    `json:"from"`
	Incarnation ident.Incarnation `json:"incarnation"`
	To          ident.Instance    `json:"to"`

	Claim         *claim.Request       `json:"claim,omitempty"`
	Vote          *claim.Vote          `json:"vote,omitempty"`
	Release       *Release             `json:"release,omitempty"`
	Settle        *claim.Record        `json:"settle,omitempty"`
	SettleAck     *SettleAck           `json:"settled,omitempty"`
	Prepare       *remembered.Prepare  `json:"prepare,omitempty"`
	Promise       *remembered.Promise  `json:"promise,omitempty"`
	Accept        *remembered.Accept   `json:"accept,omitempty"`
	Accepted      *remembered.Accepted `json:"accepted,omitempty"`
	Register      *claim.Registration  `json:"register,omitempty"`
	Sync          *Sync                `json:"sync,omitempty"`
	Follow        *Follow              `json:"follow,omitempty"`
	FollowReply   *FollowReply         `json:"followed,omitempty"`
	Forward       *Forward             `json:"forward,omitempty"`
	Blame         *Blame               `json:"blame,omitempty"`
	Revision      *Revision            `json:"revision,omitempty"`
	Configuration *Configuration       `json:"configuration,omitempty"`
	HandOver      *HandOver            `json:"handOver,omitempty"`
	HandOverAck   *HandOverAck         `json:"handedOver,omitempty"`
	Successor     *Successor           `json:"successor,omitempty"`

	Ping               *Ping               `json:"ping,omitempty"`
	Records            *Records            `json:"records,omitempty"`
	StageWork          *StageWork          `json:"stageWork,omitempty"`
	StageResults       *StageResults       `json:"stageResults,omitempty"`
	StageInputsFetched *StageInputsFetched `json:"stageTaken,omitempty"`
	StageReservations  *StageReservations  `json:"stageBookings,omitempty"`
	StageRelease       *StageRelease       `json:"stageRelease,omitempty"`
}

// Sync carries all that a seat remembers for a recovering one.
type Sync struct {
	Claims  claim.Sync         `json:"claims"`
	Answers []remembered.Entry `json:"answers,omitempty"`
	// PredecessorMemory is set when the sender kept the memory that the seat's last
	// process handed over; it is all in here, and the sender forgets it.
	PredecessorMemory *SeatMemory `json:"inherited,omitempty"`
	// BlameReports are the contents that crashed endpoints lately.
	BlameReports []blame.Report `json:"blamed,omitempty"`
}

// Release gives a claimed key back.
type Release struct {
	Key    ident.Key    `json:"key"`
	Holder claim.Holder `json:"holder"`
}

// SettleAck confirms a Settle.
type SettleAck struct {
	Key     ident.Key `json:"key"`
	Attempt uint64    `json:"attempt"`
}

// Follow asks the holder of a key for the answer.
type Follow struct {
	Key    ident.Key    `json:"key"`
	Holder claim.Holder `json:"holder"`
}

// FollowState is the state of a followed request.
type FollowState string

// The states of a followed request.
const (
	// FollowRunning means that the answer will be sent when it is there.
	FollowRunning FollowState = "running"
	// FollowFinished means that the message carries the final answer.
	FollowFinished FollowState = "finished"
	// FollowAbandoned means that the holder gave the claim up without running.
	FollowAbandoned FollowState = "abandoned"
	// FollowHolderGone means that the process that answers knows nothing of the claim:
	// the holder was replaced.
	FollowHolderGone FollowState = "gone"
)

// FollowReply answers a Follow or a Forward.
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
	// Resend is the caller's evidence that an earlier sending was made.
	Resend bool `json:"resend,omitempty"`
}

// Digest returns the hash of the submission's content.
func (s *Submission) Digest() ident.Digest { return ident.NewDigest(s.Pipeline, s.Body) }

// Forward hands a ticket's submission to the ticket's owner.
type Forward struct {
	Submission  Submission        `json:"submission"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// SentAt is the sender's time. One that arrives long after starts nothing:
	// its caller was told something else in the meantime.
	SentAt time.Time `json:"sent"`
}

// Blame tells that an endpoint died while a request ran on it, or that a
// suspect content finished on an endpoint of its own.
type Blame struct {
	Report blame.Report `json:"report"`
	// Cleared is set when the content is no suspect any more.
	Cleared bool `json:"cleared,omitempty"`
}

// Revision tells which configuration the sender serves by.
type Revision struct {
	Revision ident.ConfigurationRevision `json:"revision"`
	Digest   string                      `json:"digest"`
	// WantsRevision is set when the sender wants at least the receiver's revision.
	WantsRevision bool `json:"ask,omitempty"`
}

// Configuration carries an accepted document, whole or as the difference to
// the one that the receiver said it has.
type Configuration struct {
	Document *configuration.Document `json:"document,omitempty"`
	Delta    *configuration.Delta    `json:"delta,omitempty"`
}

// FinishedRequest is one answered request in a hand-over.
type FinishedRequest struct {
	Key    ident.Key      `json:"key"`
	Digest ident.Digest   `json:"digest"`
	Answer outcome.Answer `json:"answer"`
}

// TicketIssuer identifies a process whose tickets are handed over.
type TicketIssuer struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// HandOver makes the receiver the owner of a stopping process's tickets and
// the keeper of its seat's memory. The sender never runs a request and never
// votes again. Parts carry everything in portions; the hand-over counts when
// all have arrived.
type HandOver struct {
	From TicketIssuer `json:"from"`
	// Issuers are the processes whose tickets the sender owned.
	Issuers   []TicketIssuer    `json:"issuers"`
	Part      int               `json:"part"`
	PartCount int               `json:"parts"`
	Finished  []FinishedRequest `json:"finished,omitempty"`
	Memory    SeatMemory        `json:"memory"`
}

// SeatMemory is a portion of what a seat remembers.
type SeatMemory struct {
	Epoch         ident.Epoch        `json:"epoch"`
	CompleteSince time.Time          `json:"since"`
	Claims        []claim.Record     `json:"claims,omitempty"`
	Answers       []remembered.Entry `json:"answers,omitempty"`
}

// HandOverAck confirms one part of a HandOver, or refuses the whole when the
// receiver is stopping itself.
type HandOverAck struct {
	From    TicketIssuer `json:"from"`
	Part    int          `json:"part"`
	Refused bool         `json:"refused,omitempty"`
}

// Successor tells who owns the tickets of a process that has stopped.
type Successor struct {
	Stopped  TicketIssuer   `json:"of"`
	NewOwner ident.Instance `json:"by"`
}
