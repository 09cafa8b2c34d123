package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// SafetyRules are the decisions that the promises rest on, as functions, so that
// the tests can replace each by a wrong one and show that the fault matrix
// notices. Nil functions stand for the right decision.
type SafetyRules struct {
	// MayDispatch decides whether a non-idempotent stage may be sent.
	MayDispatch func(owned bool) bool
	// LeaseValid decides whether a claim of the given age may be used.
	LeaseValid func(age, horizon time.Duration) bool
	// KeepTombstone decides whether an answered request stays remembered.
	KeepTombstone func() bool
	// MayRetry decides whether a failed stage may be sent again.
	MayRetry func(f CallFailure, idempotent bool, check configuration.DuplicateCheck) bool
	// MayTakeOver decides whether a request may run after its holder is gone.
	MayTakeOver func(idempotent bool) bool
	// Consistent decides whether two grants count together.
	Consistent func(a, b *claim.EpochStamp) bool
	// MatchCall finds the call that an endpoint's reply belongs to.
	MatchCall func(id ident.CallID, open []ident.CallID) ident.CallID
	// ResumeAt returns the number of received tokens that a resumed stream
	// starts after.
	ResumeAt func(received int) int
	// EnforceQuarantine decides whether guilty content is turned away.
	EnforceQuarantine func() bool
}

func (r SafetyRules) withDefaults() SafetyRules {
	if r.MayDispatch == nil {
		r.MayDispatch = func(owned bool) bool { return owned }
	}
	if r.LeaseValid == nil {
		// Half the horizon leaves the other half for a pause between this
		// check and the arrival at the endpoint: only then could a seat have
		// forgotten the claim and granted it again.
		r.LeaseValid = func(age, horizon time.Duration) bool { return age < horizon/2 }
	}
	if r.KeepTombstone == nil {
		r.KeepTombstone = func() bool { return true }
	}
	if r.MayRetry == nil {
		r.MayRetry = mayRepeat
	}
	if r.MayTakeOver == nil {
		r.MayTakeOver = func(idempotent bool) bool { return idempotent }
	}
	if r.Consistent == nil {
		r.Consistent = claim.EpochsAgree
	}
	if r.MatchCall == nil {
		r.MatchCall = func(id ident.CallID, _ []ident.CallID) ident.CallID { return id }
	}
	if r.ResumeAt == nil {
		r.ResumeAt = func(received int) int { return received }
	}
	if r.EnforceQuarantine == nil {
		r.EnforceQuarantine = func() bool { return true }
	}
	return r
}

func mayRepeat(f CallFailure, idempotent bool, check configuration.DuplicateCheck) bool {
	return idempotent || f.DidNotRun() || check == configuration.Deduplicate
}
