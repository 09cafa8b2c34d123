package node

import (
	"time"

	"anvilcross/kernel/claim"
	"anvilcross/kernel/configuration"
	"anvilcross/kernel/ident"
)

// SafetyRules holds the decisions that the outcome guarantees rest on, as
// functions, so that tests can replace each by a wrong one and show that the
// fault matrix detects it. A nil function stands for the correct decision.
type SafetyRules struct {
	// MayDispatch decides whether a non-idempotent stage may be sent.
	MayDispatch func(owned bool) bool
	// LeaseValid decides whether a claim of the given age may still be relied
	// on.
	LeaseValid func(age, horizon time.Duration) bool
	// KeepTombstone decides whether a non-idempotent request that ended without
	// a whole answer is retained, so that it never runs again.
	KeepTombstone func() bool
	// MayRetry decides whether a failed stage may be sent again.
	MayRetry func(f CallFailure, idempotent bool, check configuration.DuplicateCheck) bool
	// MayTakeOver decides whether a request may run here after its holder is
	// gone.
	MayTakeOver func(idempotent bool) bool
	// Consistent decides whether the replies of two seats count towards the same
	// majority: by default, if each sender knows the other's current epoch.
	Consistent func(a, b *claim.EpochStamp) bool
	// MatchCall finds the call that an endpoint's reply belongs to. It is first
	// asked with a nil list; the open calls are listed only if the call that it
	// then names is not in flight.
	MatchCall func(id ident.CallID, open []ident.CallID) ident.CallID
	// ResumeAt returns how many of the received tokens a resumed stream starts
	// after.
	ResumeAt func(received int) int
	// EnforceQuarantine decides whether quarantined content is refused.
	EnforceQuarantine func() bool
}

func (r SafetyRules) withDefaults() SafetyRules {
	if r.MayDispatch == nil {
		r.MayDispatch = func(owned bool) bool { return owned }
	}
	if r.LeaseValid == nil {
		// The other half of the horizon allows for a pause between this check
		// and the arrival at the endpoint. Only after a whole horizon could a
		// seat have forgotten the claim and granted it again.
		r.LeaseValid = func(age, horizon time.Duration) bool { return age < horizon/2 }
	}
	if r.KeepTombstone == nil {
		r.KeepTombstone = func() bool { return true }
	}
	if r.MayRetry == nil {
		r.MayRetry = mayRetry
	}
	if r.MayTakeOver == nil {
		r.MayTakeOver = func(idempotent bool) bool { return idempotent }
	}
	if r.Consistent == nil {
		r.Consistent = claim.EpochsConsistent
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

func mayRetry(f CallFailure, idempotent bool, check configuration.DuplicateCheck) bool {
	return idempotent || f.DidNotRun() || check == configuration.Deduplicate
}
