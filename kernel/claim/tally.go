package claim

import (
	"slices"

	"anvilcross/kernel/ident"
)

// Decision is what a claimer may conclude from the votes so far.
type Decision int

// The decisions.
const (
	// Pending means that votes are missing.
	Pending Decision = iota
	// Won means that a majority granted the key in consistent votes.
	Won
	// HeldElsewhere means that another claimer holds the key at some seat.
	HeldElsewhere
	// AlreadySettled means that the final answer is known.
	AlreadySettled
	// Conflicting means that the id was used with another pipeline or body.
	Conflicting
	// Undecidable means that all seats voted and no other decision applies.
	Undecidable
	// Unclaimed means that a majority reports the key as free; queries only.
	Unclaimed
)

// Tally counts the votes on one attempt.
type Tally struct {
	// Group is the voting group of the key.
	Group []ident.Instance
	// Consistent reports whether two grants count towards the same majority: by
	// default, whether each sender knows the other's current epoch.
	Consistent func(a, b *EpochStamp) bool
	votes      map[ident.Instance]Vote
}

// NewTally returns an empty tally for the voting group of a key.
func NewTally(group []ident.Instance) *Tally {
	return &Tally{Group: group, Consistent: EpochsConsistent, votes: map[ident.Instance]Vote{}}
}

// Add stores a seat's vote in place of its previous one, unless that is from a
// newer epoch. Votes of seats outside the group are ignored.
func (t *Tally) Add(v Vote) {
	if !slices.Contains(t.Group, v.Seat) {
		return
	}
	if previous, ok := t.votes[v.Seat]; ok && previous.Epoch > v.Epoch {
		return
	}
	t.votes[v.Seat] = v
}

// SeatsToAsk returns the seats whose new vote could still change the decision:
// those without a vote, with a verdict other than Granted, or with a grant that
// fewer than Majority grants, itself included, are consistent with. The only
// seat of a group of one is always returned; Decide wins there with its one
// grant, and the claimer that owns the key stops asking.
func (t *Tally) SeatsToAsk() []ident.Instance {
	var seats []ident.Instance
	for _, seat := range t.Group {
		v, ok := t.votes[seat]
		if !ok || v.Verdict != Granted || t.countConsistentGrants(&v) < Majority {
			seats = append(seats, seat)
		}
	}
	return seats
}

// Decide returns the decision and, for AlreadySettled, Conflicting and
// HeldElsewhere, the record that it is based on.
func (t *Tally) Decide() (Decision, *Record) {
	if r := t.recordWithVerdict(Settled); r != nil {
		return AlreadySettled, r
	}
	if r := t.recordWithVerdict(Conflict); r != nil {
		return Conflicting, r
	}
	freeVotes := 0
	for _, seat := range t.Group {
		v, ok := t.votes[seat]
		if !ok {
			continue
		}
		if v.Verdict == Granted && t.countConsistentGrants(&v) >= min(Majority, len(t.Group)) {
			return Won, nil
		}
		if v.Verdict == Free {
			freeVotes++
		}
	}
	if r := t.recordWithVerdict(Held); r != nil {
		return HeldElsewhere, r
	}
	if freeVotes >= Majority {
		return Unclaimed, nil
	}
	if len(t.votes) == len(t.Group) {
		return Undecidable, nil
	}
	return Pending, nil
}

// countConsistentGrants counts the grants that are consistent with the given one,
// itself included.
func (t *Tally) countConsistentGrants(v *Vote) int {
	n := 0
	for _, other := range t.votes {
		if other.Verdict != Granted {
			continue
		}
		if other.Seat == v.Seat || t.Consistent(&v.EpochStamp, &other.EpochStamp) {
			n++
		}
	}
	return n
}

// AllVoted reports whether every seat has voted.
func (t *Tally) AllVoted() bool { return len(t.votes) == len(t.Group) }

// CountHeldBy counts the seats that report the given claimer as the holder.
func (t *Tally) CountHeldBy(h Holder) int {
	n := 0
	for _, v := range t.votes {
		if v.Verdict == Held && v.Record.Holder == h {
			n++
		}
	}
	return n
}

// recordWithVerdict returns the record of the first seat of the group that voted
// with the verdict, or nil.
func (t *Tally) recordWithVerdict(verdict Verdict) *Record {
	for _, seat := range t.Group {
		if v, ok := t.votes[seat]; ok && v.Verdict == verdict {
			return v.Record
		}
	}
	return nil
}
