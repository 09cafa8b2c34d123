// Package outcome defines the closed set of results that a caller can be told
// and the form in which the answer reaches it.
package outcome

import (
	"anvilcross/kernel/ident"
	"anvilcross/kernel/spend"
)

// Outcome is what became of a request.
type Outcome string

// The outcomes. A request has run when a non-idempotent stage of it was
// dispatched to an endpoint.
const (
	// Whole means that every stage finished and the answer is complete.
	Whole Outcome = "whole"
	// NotRun means that no non-idempotent stage was dispatched and that a
	// tombstone prevents one from ever being dispatched.
	NotRun Outcome = "notRun"
	// Lost means that the request may have run.
	Lost Outcome = "lost"
	// Refused means that the request was turned away; it has not run.
	Refused Outcome = "refused"
)

// Reason says why the outcome is not Whole.
type Reason string

// The reasons.
const (
	BadRequest       Reason = "badRequest"
	UnknownPipeline  Reason = "unknownPipeline"
	WrongKey         Reason = "wrongKey"
	BadTicket        Reason = "badTicket"
	IDConflict       Reason = "idConflict"
	OverLimit        Reason = "overLimit"
	CannotFinish     Reason = "cannotFinish"
	Quarantined      Reason = "quarantined"
	DeadlinePassed   Reason = "deadlinePassed"
	StageFailed      Reason = "stageFailed"
	NoEndpoint       Reason = "noEndpoint"
	ReplyLost        Reason = "replyLost"
	HolderGone       Reason = "holderGone"
	ClaimUnconfirmed Reason = "claimUnconfirmed"
	LeaseExpired     Reason = "leaseExpired"
	TableFull        Reason = "tableFull"
	NotReady         Reason = "notReady"
	Unknown          Reason = "unknown"
)

// StageResult is the recorded result of one stage.
type StageResult struct {
	Stage    ident.Stage    `json:"stage"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Output   string         `json:"output"`
	Millis   float64        `json:"millis"`
	Attempts int            `json:"attempts"`
	Cost     spend.Cost     `json:"cost"`
}

// Answer is the whole reply to a caller.
type Answer struct {
	ID       ident.RequestID `json:"id"`
	Outcome  Outcome         `json:"outcome"`
	Reason   Reason          `json:"reason,omitempty"`
	Detail   string          `json:"detail,omitempty"`
	Late     bool            `json:"late,omitempty"`
	Text     string          `json:"text,omitempty"`
	Stages   []StageResult   `json:"stages,omitempty"`
	Cost     spend.Cost      `json:"cost"`
	ServedBy ident.Instance  `json:"served,omitempty"`
}
