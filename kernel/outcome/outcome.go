// Package outcome defines the closed set of outcomes that a request can have,
// and the answer that reports the outcome to the caller.
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
	// Refused means that the request was rejected; it has not run.
	Refused Outcome = "refused"
)

// Reason says why the outcome is not Whole.
type Reason string

// The reasons.
const (
	BadRequest       Reason = "badRequest"
	UnknownPipeline  Reason = "unknownPipeline"
	WrongKey         Reason = "wrongKey" // the workspace key is missing or unknown
	BadTicket        Reason = "badTicket"
	IDConflict       Reason = "idConflict"   // the id was used with another pipeline or body
	OverLimit        Reason = "overLimit"    // rejected by admission control
	CannotFinish     Reason = "cannotFinish" // the stages take longer than the deadline allows
	Quarantined      Reason = "quarantined"  // the content has crashed endpoints
	DeadlinePassed   Reason = "deadlinePassed"
	StageFailed      Reason = "stageFailed"      // no attempts are left, or no retry budget
	NoEndpoint       Reason = "noEndpoint"       // the service of a stage is not configured
	ReplyLost        Reason = "replyLost"        // a non-idempotent stage was sent and no reply came
	HolderGone       Reason = "holderGone"       // the instance that holds the claim was replaced or is unreachable
	ClaimUnconfirmed Reason = "claimUnconfirmed" // the voting seats cannot rule out an earlier run, or are unreachable
	LeaseExpired     Reason = "leaseExpired"     // the claim is too old to start a non-idempotent stage
	TableFull        Reason = "tableFull"        // the instance stores too many requests
	NotReady         Reason = "notReady"         // the instance is not serving
	Unknown          Reason = "unknown"          // no answer is stored for the id
)

// StageResult is the recorded result of one stage. Millis is the total time of
// the calls and Attempts their number, failed calls included.
type StageResult struct {
	Stage    ident.Stage    `json:"stage"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Output   string         `json:"output"`
	Millis   float64        `json:"millis"`
	Attempts int            `json:"attempts"`
	Cost     spend.Cost     `json:"cost"`
}

// Answer is the complete reply to a caller. Late is set if the request ended
// after its deadline. ServedBy is the instance that ended the request.
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
