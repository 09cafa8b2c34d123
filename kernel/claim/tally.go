package claim

import (
	"slices"

	"anvilcross/kernel/ident"
)

// Decision is what a claimer may conclude from the votes so far.
type Decision int

// The decisions.
const (
	// Pending means that more votes are needed.
	Pending Decision = iota
	// Won means that a consistent majority granted the key.
	Won
	// HeldElsewhere means that another claimer holds the key at some seat.
	HeldElsewhere
	// AlreadySettled means that the final answer is known.
	AlreadySettled
	// Conflicting means that the id was used with another body.
	Conflicting
	// Undecidable means that every seat answered without a majority.
	Undecidable
	// Unclaimed means that a majority does not know the key; queries only.
	Unclaimed
)

// Tally counts the votes for one attempt.
type Tally struct {
	Group []ident.Instance
	// Consistent decides whether two grants may be counted together.
	Consistent func(a, b *EpochStamp) bool
	votes      map[ident.Instance]Vote
}

// NewTally returns an empty tally for the group of a key.
func NewTally(group []ident.Instance) *Tally {
	return &Tally{Group: group, Consistent: EpochsAgree, votes: map[ident.Instance]Vote{}}
}

// Add counts a vote. A vote from an older epoch does not replace a newer one.
func (t *Tally) Add(v Vote) {
	if !slices.Contains(t.Group, v.Seat) {
		return
	}
	if old, ok := t.votes[v.Seat]; ok && old.Epoch > v.Epoch {
		return
	}
	t.votes[v.Seat] = v
}

// SeatsToAsk returns the seats whose vote could still change the decision.
func (t *Tally) SeatsToAsk() []ident.Instance {
	var seats []ident.Instance
	for _, seat := range t.Group {
		v, ok := t.votes[seat]
		if !ok || v.Verdict != Granted || t.granted(&v) < Majority {
			seats = append(seats, seat)
		}
	}
	return seats
}

// Decide returns the decision and, for HeldElsewhere and AlreadySettled, the
// record that it rests on.
func (t *Tally) Decide() (Decision, *Record) {
	if r := t.find(Settled); r != nil {
		return AlreadySettled, r
	}
	if r := t.find(Conflict); r != nil {
		return Conflicting, r
	}
	free := 0
	for _, seat := range t.Group {
		v, ok := t.votes[seat]
		if !ok {
			continue
		}
		if v.Verdict == Granted && t.granted(&v) >= min(Majority, len(t.Group)) {
			return Won, nil
		}
		if v.Verdict == Free {
			free++
		}
	}
	if r := t.find(Held); r != nil {
		return HeldElsewhere, r
	}
	if free >= Majority {
		return Unclaimed, nil
	}
	if len(t.votes) == len(t.Group) {
		return Undecidable, nil
	}
	return Pending, nil
}

// granted counts the grants that may be combined with the given one.
func (t *Tally) granted(v *Vote) int {
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

// CountHeldBy counts the seats that say that the given claimer holds the key.
func (t *Tally) CountHeldBy(h Holder) int {
	n := 0
	for _, v := range t.votes {
		if v.Verdict == Held && v.Record.Holder == h {
			n++
		}
	}
	return n
}

func (t *Tally) find(verdict Verdict) *Record {
	for _, seat := range t.Group {
		if v, ok := t.votes[seat]; ok && v.Verdict == verdict {
			return v.Record
		}
	}
	return nil
}
