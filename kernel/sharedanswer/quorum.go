package sharedanswer

import (
	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// Quorum counts the replies to one ballot.
type Quorum struct {
	// Consistent reports whether two replies count towards the same majority;
	// see claim.EpochsConsistent.
	Consistent func(a, b *claim.EpochStamp) bool
	// GroupSize is the number of seats in the voting group.
	GroupSize   int
	promises    map[ident.Instance]Promise
	acceptances map[ident.Instance]Accepted
}

// NewQuorum returns a Quorum without replies for a voting group of the given
// size.
func NewQuorum(groupSize int, consistent func(a, b *claim.EpochStamp) bool) *Quorum {
	return &Quorum{GroupSize: groupSize, Consistent: consistent, promises: map[ident.Instance]Promise{}, acceptances: map[ident.Instance]Accepted{}}
}

// AddPromise stores a seat's reply to a Prepare, granted or not, unless a reply
// from a newer epoch of the seat is stored.
func (q *Quorum) AddPromise(p Promise) {
	if previous, ok := q.promises[p.Seat]; !ok || previous.Epoch <= p.Epoch {
		q.promises[p.Seat] = p
	}
}

// AddAccepted stores a seat's reply to an Accept, granted or not, unless a reply
// from a newer epoch of the seat is stored.
func (q *Quorum) AddAccepted(a Accepted) {
	if previous, ok := q.acceptances[a.Seat]; !ok || previous.Epoch <= a.Epoch {
		q.acceptances[a.Seat] = a
	}
}

func (q *Quorum) majority() int { return min(claim.Majority, q.GroupSize) }

// Chosen returns the answer that a majority has accepted under one ballot, or
// nil.
func (q *Quorum) Chosen() *outcome.Answer {
	for _, p := range q.promises {
		if p.Answer == nil {
			continue
		}
		n := 0
		for _, o := range q.promises {
			if o.Answer != nil && o.Accepted == p.Accepted && (o.Seat == p.Seat || q.Consistent(&o.EpochStamp, &p.EpochStamp)) {
				n++
			}
		}
		if n >= q.majority() {
			return p.Answer
		}
	}
	return nil
}

// MajorityPromised reports whether a majority promised the ballot, and returns
// the answer that it then has to write: the one accepted under the highest
// ballot, or nil if the ballot may choose one.
func (q *Quorum) MajorityPromised() (bool, *outcome.Answer) {
	for _, p := range q.promises {
		n := 0
		var highest Promise
		for _, o := range q.promises {
			if !o.Granted || !p.Granted || o.Seat != p.Seat && !q.Consistent(&o.EpochStamp, &p.EpochStamp) {
				continue
			}
			n++
			if o.Answer != nil && o.Accepted.Compare(highest.Accepted) > 0 {
				highest = o
			}
		}
		if n >= q.majority() {
			return true, highest.Answer
		}
	}
	return false, nil
}

// MajorityAccepted reports whether a majority has accepted the ballot's answer.
func (q *Quorum) MajorityAccepted() bool {
	for _, a := range q.acceptances {
		n := 0
		for _, o := range q.acceptances {
			if o.Granted && a.Granted && (o.Seat == a.Seat || q.Consistent(&o.EpochStamp, &a.EpochStamp)) {
				n++
			}
		}
		if n >= q.majority() {
			return true
		}
	}
	return false
}

// HighestBallotNumber returns the highest ballot number that any seat has
// promised.
func (q *Quorum) HighestBallotNumber() uint64 {
	highest := uint64(0)
	for _, p := range q.promises {
		highest = max(highest, p.Promised.Number)
	}
	for _, a := range q.acceptances {
		highest = max(highest, a.Promised.Number)
	}
	return highest
}

// Preempted reports whether so many seats have promised a higher ballot that
// this one cannot reach a majority any more.
func (q *Quorum) Preempted() bool {
	refusedPromises, refusedAccepts := 0, 0
	for _, p := range q.promises {
		if !p.Granted {
			refusedPromises++
		}
	}
	for _, a := range q.acceptances {
		if !a.Granted {
			refusedAccepts++
		}
	}
	return max(refusedPromises, refusedAccepts) > q.GroupSize-q.majority()
}
