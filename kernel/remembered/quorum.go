package remembered

import (
	"anvilcross/kernel/claim"
	"anvilcross/kernel/ident"
	"anvilcross/kernel/outcome"
)

// Quorum counts the replies to one ballot.
type Quorum struct {
	// Consistent decides whether two replies may be counted together.
	Consistent func(a, b *claim.EpochStamp) bool
	// GroupSize is the number of seats.
	GroupSize int
	promises  map[ident.Instance]Promise
	accepteds map[ident.Instance]Accepted
}

// NewQuorum returns a count without replies.
func NewQuorum(size int, consistent func(a, b *claim.EpochStamp) bool) *Quorum {
	return &Quorum{GroupSize: size, Consistent: consistent, promises: map[ident.Instance]Promise{}, accepteds: map[ident.Instance]Accepted{}}
}

// AddPromise counts a promise, or what a refusal tells.
func (q *Quorum) AddPromise(p Promise) {
	if old, ok := q.promises[p.Seat]; !ok || old.Epoch <= p.Epoch {
		q.promises[p.Seat] = p
	}
}

// AddAccepted counts an acceptance.
func (q *Quorum) AddAccepted(a Accepted) {
	if old, ok := q.accepteds[a.Seat]; !ok || old.Epoch <= a.Epoch {
		q.accepteds[a.Seat] = a
	}
}

func (q *Quorum) majority() int { return min(claim.Majority, q.GroupSize) }

// Chosen returns the answer that a majority holds under one ballot, or nil.
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

// MajorityPromised reports whether a majority promised, and returns the answer that
// has to be written then: the one accepted under the highest ballot, or nil.
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

// MajorityAccepted reports whether a majority holds the ballot's answer.
func (q *Quorum) MajorityAccepted() bool {
	for _, a := range q.accepteds {
		n := 0
		for _, o := range q.accepteds {
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

// HighestBallotNumber returns the highest ballot number that any seat is bound to.
func (q *Quorum) HighestBallotNumber() uint64 {
	highest := uint64(0)
	for _, p := range q.promises {
		highest = max(highest, p.Promised.Number)
	}
	for _, a := range q.accepteds {
		highest = max(highest, a.Promised.Number)
	}
	return highest
}

// Preempted reports whether so many seats are bound to a higher ballot that
// this one cannot get its majority any more.
func (q *Quorum) Preempted() bool {
	unprepared, unwritten := 0, 0
	for _, p := range q.promises {
		if !p.Granted {
			unprepared++
		}
	}
	for _, a := range q.accepteds {
		if !a.Granted {
			unwritten++
		}
	}
	return max(unprepared, unwritten) > q.GroupSize-q.majority()
}
